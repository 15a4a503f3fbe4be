import type { EndKind } from "@persimmonpitch/workload/executorReport.js";
import t from "tap";
import { restoreCluster } from "./clusterStateFixture.js";

t.formatSnapshot = value => String(value);

interface Case {
    readonly name: string;
    readonly step?: object;
    /** How run 1 of each task ended, according to a list that arrives after the run was considered lost. */
    readonly ends: readonly EndKind[];
    /** Whether run 2 is claimed on another executor when the list arrives. */
    readonly isRestarted?: boolean;
}

const GANG = { count: 2, isGang: true };

const CASES: readonly Case[] = [
    { name: "done, not started again", ends: ["done"] },
    { name: "done, started again", ends: ["done"], isRestarted: true },
    { name: "failed, not started again", ends: ["failed"] },
    { name: "failed, started again", ends: ["failed"], isRestarted: true },
    { name: "stopped with a checkpoint, not started again", ends: ["stopped"] },
    { name: "stopped with a checkpoint, started again", ends: ["stopped"], isRestarted: true },
    { name: "one member of a gang done, started again", step: GANG, ends: ["done"], isRestarted: true },
    { name: "two members of a gang failed", step: GANG, ends: ["failed", "failed"] },
    {
        name: "done, but long-running until cancelled",
        step: { isLongRunning: true },
        ends: ["done"],
        isRestarted: true,
    },
];

// Guards against acknowledging an end without recording it: a done task started again, and failures did not count. This
// happened when a VM was partitioned for longer than its lease (deployment test, seed 17).
for (const { name, step = {}, ends, isRestarted = false } of CASES) {
    void t.test(`late end: ${name}`, t => {
        const placement = { vm: "worker-1", executorId: "x1", born: 100 };
        const task = { run: 1, placement, failures: 0, isDone: false };
        const keys = ["0.0.0", "0.0.1"].slice(0, "count" in step ? 2 : 1);
        const tasks = Object.fromEntries(keys.map(key => [key, task]));
        const { cluster, openJob } = restoreCluster([{ count: 1, demand: {}, ...step }], tasks, 3);
        const lostExecutor = cluster.getOrAddExecutor("worker-1", "x1");
        cluster.markAllRunsLost(lostExecutor, "lapsed");
        const other = cluster.getOrAddExecutor("worker-2", "x2");
        if (isRestarted) {
            keys.forEach(key => cluster.claim(openJob, key, 2, other));
        }
        const list = {
            born: 100,
            clockMs: 1,
            running: [],
            hasMoreEnds: false,
            ends: ends.map((kind, index) => ({
                number: index + 1,
                task: `a.0.0.${index}`,
                run: 1,
                kind,
                checkpoint: kind === "stopped" ? "half" : "",
            })),
        };
        cluster.applyRunList(lostExecutor, list);
        // The same ends are listed until they are acknowledged.
        cluster.applyRunList(lostExecutor, list);
        const progress = Object.entries(openJob.progress.tasks).map(([key, { run, failures, isDone, checkpoint }]) =>
            `${key}#${run} done=${isDone} failures=${failures} checkpoint=${checkpoint ?? ""}`
        );
        const tracked = [...other.runs.values()].map(({ task, run, isTaskDone }) =>
            `tracked ${task}#${run} taskDone=${isTaskDone}`
        );
        t.matchSnapshot([...progress, ...tracked, `ends seen: ${lostExecutor.recentEnds.length}`].join("\n"));
        t.end();
    });
}
