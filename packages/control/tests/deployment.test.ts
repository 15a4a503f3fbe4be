import { stepJobSchema } from "@persimmonpitch/workload/stepJob.js";
import { parseTaskName } from "@persimmonpitch/workload/taskName.js";
import t from "tap";
import { parseRow } from "../src/parseRow.js";
import { rowKeys } from "../src/rows.js";
import { Deployment } from "./deploymentFixture.js";

t.formatSnapshot = value => String(value);

interface Case {
    readonly name: string;
    readonly cause: (deployment: Deployment) => Promise<void> | void;
}

const CASES: readonly Case[] = [
    { name: "no fault", cause: () => undefined },
    {
        name: "the controller stops without notice",
        cause: d => {
            d.killNode(d.controller);
        },
    },
    { name: "the controller is released", cause: d => d.nodes.get(d.controller)?.release() },
    {
        name: "the store refuses the controller",
        cause: d => {
            d.store.setFaults({ refused: [d.controller] });
        },
    },
    {
        name: "the store is down for 5 s",
        cause: async d => {
            d.store.setFaults({ down: true });
            await d.pass(5_000);
            d.store.setFaults({ down: false });
        },
    },
    {
        name: "answers of the store are lost",
        cause: d => {
            d.store.setFaults({ loseAnswers: 6 });
        },
    },
    {
        name: "commits take effect late",
        cause: d => {
            d.store.setFaults({ delayCommits: 6 });
        },
    },
    {
        name: "the store drops its history",
        cause: d => {
            d.store.compact();
        },
    },
    {
        name: "an agent restarts",
        cause: async d => {
            await d.killAgent("x1");
            await d.pass(500);
            d.startAgent("x1");
        },
    },
    {
        name: "an executor crashes and restarts",
        cause: async d => {
            d.crash("x1");
            await d.pass(300);
            d.executor("x1").restart();
        },
    },
    {
        name: "an executor is gone for good",
        cause: d => {
            d.crash("x1");
        },
    },
    ...[5_000, 15_000].map(ms => ({
        name: `a VM is cut off for ${ms} ms`,
        cause: async (d: Deployment) => {
            d.cut.add("x1");
            await d.pass(ms);
            d.cut.delete("x1");
        },
    })),
    {
        name: "orders are carried out late",
        cause: d => {
            d.executors.forEach(executor => {
                executor.setFaults({ unansweredOrders: 3, orderDelayMs: 1_500 });
            });
        },
    },
    {
        name: "everything stops and starts again",
        cause: async d => {
            const names = [...d.nodes.keys()];
            names.forEach(name => {
                d.killNode(name);
            });
            await Promise.all(["x1", "x2"].map(name => d.killAgent(name)));
            await d.pass(1_000);
            names.forEach(name => d.startNode(name));
            ["x1", "x2"].forEach(name => {
                d.startAgent(name);
            });
        },
    },
];

const demand = { milliCores: 1_000, memoryMb: 0, accelerators: 4 };

/** What the runs break of the rules that hold under every fault. */
const brokenRules = (d: Deployment): readonly string[] => {
    const broken = d.earlyAcknowledgements.map(run => `acknowledged before it was durable: ${run}`);
    d.runs.forEach((run, index) => {
        for (const other of d.runs.slice(0, index)) {
            const isOpen = other.endedAt === undefined || other.endedAt > run.startedAt;
            if (other.task === run.task && isOpen) {
                broken.push(`twice at one time: ${run.task}#${other.run} and #${run.run}`);
            }
            const acknowledgedAt = other.acknowledgedAt ?? Infinity;
            if (other.task === run.task && other.kind === "done" && acknowledgedAt < run.startedAt) {
                broken.push(`started after its end: ${run.task}#${run.run}`);
            }
        }
        broken.push(...brokenOrder(d, run.task, run.startedAt));
    });
    return broken;
};

/** A step starts only after all tasks of the steps before it are done. */
const brokenOrder = (d: Deployment, task: string, startedAt: number): readonly string[] => {
    const place = parseTaskName(task);
    const row = d.store.snapshot().find(({ key }) => key === rowKeys.job(place?.jobId ?? ""));
    const steps = (row === undefined ? undefined : parseRow(stepJobSchema, row.value)?.steps) ?? [];
    return (steps[place?.step ?? 0]?.after ?? []).flatMap(earlier =>
        Array.from({ length: steps[earlier]?.count ?? 0 }, (_, index) => `${place?.jobId}.0.${earlier}.${index}`)
            .filter(name =>
                !d.runs.some(run => run.task === name && run.kind === "done" && (run.endedAt ?? Infinity) <= startedAt)
            )
            .map(name => `${task} started before ${name} was done`)
    );
};

for (const { name, cause } of CASES) {
    void t.test(name, async t => {
        const d = new Deployment(["n1", "n2", "n3"], ["x1", "x2"]);
        await d.pass(3_000);
        const step = { count: 2, demand, declaredMs: 2_000 };
        await d.putJob("a", [step, { ...step, after: [0] }], { runMs: 2_000, demand });
        await d.putJob("f", [{ ...step, count: 1 }], { runMs: 500, fails: true, demand });
        await d.pass(1_000);
        await cause(d);
        await d.pass(35_000);
        t.same(brokenRules(d), [], "no rule is broken");
        t.equal(d.outcome("a"), "completed", "an accepted job completes");
        t.equal(d.outcome("f"), "failed", "a job fails after its attempts");
        const failed = d.runs.filter(({ task, kind }) => task === "f.0.0.0" && kind === "failed");
        t.ok(failed.length <= 2, "a task starts at most maxAttempts times after ends failed");
        t.matchSnapshot(d.trace());
    });
}
