import t from "tap";
import type { TrackedRun } from "../src/executorState.js";
import { restoreCluster } from "./clusterStateFixture.js";

const TASK = {
    run: 1,
    placement: { vm: "worker-1", executorId: "x1", born: 100 },
    failures: 0,
    isDone: false,
};

interface Case {
    readonly name: string;
    /** What the controller knows of the run besides its claim. */
    readonly known: Partial<TrackedRun>;
}

const CASES: readonly Case[] = [
    { name: "claimed by an earlier controller", known: {} },
    { name: "started", known: { isInherited: false, startAnswerClockMs: 1_000 } },
    { name: "stopped", known: { isInherited: false, stopAnswerClockMs: 1_000 } },
];

// Guards against a run that counts as lost by a list that leaves out its end, and is started again after it was done.
for (const { name, known } of CASES) {
    void t.test(`a run that a list without all ends does not contain: ${name}`, t => {
        const { cluster, openJob } = restoreCluster([{ count: 1, demand: {} }], { "0.0.0": TASK });
        const state = cluster.getOrAddExecutor("worker-1", "x1");
        Object.assign(state.runs.get("a.0.0.0") ?? {}, known);
        const progressAt = -60_000;
        Object.assign(state.runs.get("a.0.0.0") ?? {}, { progressAt });
        const list = { born: 100, clockMs: 2_000, running: [], ends: [], hasMoreEnds: true };
        cluster.applyRunList(state, list);
        t.equal(state.runs.size, 1, "the run is kept");
        t.ok((state.runs.get("a.0.0.0")?.progressAt ?? 0) > progressAt, "the run does not count as stalled");
        const end = { number: 501, task: "a.0.0.0", run: 1, kind: "done", checkpoint: "" } as const;
        cluster.applyRunList(state, { ...list, clockMs: 3_000, ends: [end], hasMoreEnds: false });
        t.equal(state.runs.size, 0);
        t.equal(openJob.task("0.0.0").isDone, true, "its end is recorded");
        t.end();
    });
}

void t.test("a run that a list with all ends does not contain", t => {
    const { cluster } = restoreCluster([{ count: 1, demand: {} }], { "0.0.0": TASK });
    const state = cluster.getOrAddExecutor("worker-1", "x1");
    cluster.applyRunList(state, { born: 100, clockMs: 2_000, running: [], ends: [], hasMoreEnds: false });
    t.equal(state.runs.size, 0, "the run is lost");
    t.end();
});
