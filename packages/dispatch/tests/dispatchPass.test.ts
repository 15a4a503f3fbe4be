import t from "tap";
import { dispatchPass } from "../src/dispatchPass.js";
import type { DispatchView } from "../src/dispatchView.js";
import { executorsOf, jobOf, linesOf, placedOn, runOf, START, viewOf } from "./dispatchFixture.js";
import { ruleBreaches } from "./dispatchRules.js";

interface Case {
    readonly guardsAgainst: string;
    readonly view: DispatchView;
}

const gang = { isGang: true, isTight: true };
const batchOn = (id: string, executor: number, count: number, hasCheckpoints = false) =>
    jobOf({ id, steps: [{ count, isGang: true, hasCheckpoints }], tasks: placedOn(executor, ...keys(count)) });
const keys = (count: number): readonly string[] => Array.from({ length: count }, (_, index) => `0.0.${index}`);
const runsOf = (id: string, count: number, elapsedMs = 1_000, percent = 20, isStopping = false) =>
    keys(count).map(key => runOf(id, key, elapsedMs, percent, { isStopping }));
const failed = (jobId: string, at: number, key = "0.0.0") => ({ jobId, key, isFailure: true, at });
const urgent = (count: number, accelerators = 1) =>
    jobOf({ id: "urgent", queue: "counter", team: "weavers", steps: [{ ...gang, count, demand: { accelerators } }] });

const caseOf = (guardsAgainst: string, ...[jobs, executors]: Parameters<typeof viewOf>): Case => ({
    guardsAgainst,
    view: viewOf(jobs, executors),
});

const CASES: readonly Case[] = [
    caseOf(
        "small tasks that fragment empty executors",
        [batchOn("old", 1, 6), jobOf({ id: "small", queue: "preview", steps: [{ count: 2 }] })],
        executorsOf(3, index => ({ runs: index === 1 ? runsOf("old", 6) : [] })),
    ),
    caseOf(
        "a tight gang that is spread over two racks although it fits in one",
        [batchOn("old", 0, 8), jobOf({ id: "tight", steps: [{ ...gang, count: 3, demand: { accelerators: 8 } }] })],
        executorsOf(6, index => ({ runs: index === 0 ? runsOf("old", 8) : [] })),
    ),
    caseOf(
        "a gang that waits for a rack larger than any existing one",
        [jobOf({ id: "wide", steps: [{ ...gang, count: 4, demand: { accelerators: 8 } }] })],
        executorsOf(6),
    ),
    caseOf(
        "a tight gang that runs three times slower instead of waiting briefly",
        [batchOn("old", 0, 8), jobOf({ id: "tight", steps: [{ ...gang, count: 3, demand: { accelerators: 8 } }] })],
        executorsOf(4, index => ({ runs: index === 0 ? runsOf("old", 8, 4_500, 90) : [] })),
    ),
    caseOf(
        "an occurrence before its due time, and steps out of order",
        [jobOf({
            id: "repeated",
            steps: [{ count: 2 }, { after: [0] }],
            repetition: { count: 3, firstDueAt: START - 10, intervalMs: 10 },
            tasks: { "0.0.0": { run: 1, isDone: true }, "0.0.1": { run: 4, isDone: true }, "1.0.1": { run: 2 } },
        })],
        executorsOf(1),
    ),
    caseOf(
        "a gang with a member that still has a placement",
        [jobOf({ id: "rest", steps: [{ ...gang, count: 2 }], tasks: placedOn(9, "0.0.1") })],
        executorsOf(2),
    ),
    caseOf(
        "executors of another service, without the label, that are draining, or that have reached the limit",
        [jobOf({ id: "picky", steps: [{ count: 3, requiredLabel: "dye", maxPerExecutor: 1 }] })],
        executorsOf(4, index => ({
            labels: index === 3 ? [] : ["dye"],
            service: index === 0 ? "other" : "desk",
            takesWork: index !== 1,
        })),
    ),
    caseOf(
        "resources of a run of an unknown job that are allocated again, or the rest of its executor that stays unused",
        [jobOf({ id: "any", steps: [{ count: 3 }] })],
        executorsOf(1, () => ({
            runs: [runOf("gone", "0.0.0", 1_000, 20, { demand: { accelerators: 6, milliCores: 0, memoryMb: 0 } })],
        })),
    ),
    caseOf(
        "an executor that fails the runs of all jobs and gets more work",
        [jobOf({ id: "next", queue: "preview", steps: [{ count: 3 }] })],
        executorsOf(3, index => ({
            takesWork: index < 2,
            recentEnds: index === 0 ? [failed("a", START - 6_000), failed("b", START - 5_500)] : [],
            capacity: { accelerators: index === 1 ? 1 : 8, milliCores: 8_000, memoryMb: 8_000 },
        })),
    ),
    caseOf(
        "a task that starts again where it has just failed",
        [jobOf({ id: "again", steps: [{}], tasks: { "0.0.0": { run: 1, failures: 1 } } })],
        executorsOf(2, index => ({ recentEnds: index === 0 ? [failed("again", START - 500)] : [] })),
    ),
    caseOf(
        "a stalled run that is not evicted, and gangs stopped in part",
        [batchOn("stuck", 0, 2), batchOn("well", 1, 1)],
        executorsOf(2, index => ({
            runs: index === 0
                ? keys(2).map(key => runOf("stuck", key, 4_000, 20, { progressAt: START - 3_000 }))
                : runsOf("well", 1),
        })),
    ),
    caseOf(
        "a run that is stopped as stalled because its executor's lists do not arrive",
        [batchOn("unseen", 0, 2), batchOn("well", 1, 1)],
        executorsOf(2, index => ({
            listedAt: index === 0 ? START - 3_000 : START,
            runs: index === 0
                ? keys(2).map(key => runOf("unseen", key, 4_000, 20, { progressAt: START - 3_000 }))
                : runsOf("well", 1),
        })),
    ),
    caseOf(
        "a run without checkpoints that is stopped as stalled before it made no progress for as long as it worked",
        [batchOn("worked", 0, 2), batchOn("saved", 0, 2, true), batchOn("well", 1, 1)],
        executorsOf(2, index => ({
            runs: index === 0
                ? ["worked", "saved"].flatMap(id =>
                    keys(2).map(key => runOf(id, key, 11_000, 60, { progressAt: START - 3_000 }))
                )
                : runsOf("well", 1),
        })),
    ),
    caseOf(
        "runs of two jobs on a slow executor that are not evicted",
        ["a", "b", "c", "d", "e"].map((id, index) => batchOn(id, index < 2 ? 0 : 1, 1)),
        executorsOf(2, index => ({
            runs: (index === 0 ? ["a", "b"] : ["c", "d", "e"]).flatMap(id =>
                runsOf(id, 1, 3_000, index === 0 ? 10 : 60)
            ),
        })),
    ),
    caseOf(
        "a run without checkpoints that is stopped because its executor leaves",
        [batchOn("saved", 0, 1, true), batchOn("unsaved", 0, 1)],
        executorsOf(
            1,
            () => ({ takesWork: false, leavesInMs: 1_200, runs: [...runsOf("saved", 1), ...runsOf("unsaved", 1)] }),
        ),
    ),
    caseOf(
        "a guarantee that preempts more runs than it needs, or expensive ones",
        [batchOn("old", 0, 8), batchOn("new", 1, 8), urgent(8)],
        executorsOf(2, index => ({ runs: index === 0 ? runsOf("old", 8, 40_000, 50) : runsOf("new", 8, 500, 10) })),
    ),
    caseOf(
        "further victims while the first ones are stopping, and other work that takes their resources",
        [
            batchOn("new", 1, 8),
            urgent(8),
            jobOf({ id: "quick", queue: "counter", team: "potters", steps: [{ count: 8 }] }),
            batchOn("old", 0, 8),
        ],
        executorsOf(
            2,
            index => ({ runs: index === 0 ? runsOf("old", 8, 4_000, 80) : runsOf("new", 8, 700, 10, true) }),
        ),
    ),
    caseOf(
        "small tasks that take the resources that a large gang waits for",
        [
            batchOn("old", 0, 2),
            jobOf({ id: "large", steps: [{ ...gang, count: 2, demand: { accelerators: 4 }, declaredMs: 8_000 }] }),
            jobOf({ id: "small", queue: "preview", steps: [{ count: 9, declaredMs: 20_000 }] }),
        ],
        executorsOf(1, () => ({ runs: runsOf("old", 2) })),
    ),
];

void t.test("decisions on single views", t => {
    for (const { guardsAgainst, view } of CASES) {
        const decisions = dispatchPass(view);
        t.matchSnapshot(linesOf(decisions).join("\n"), guardsAgainst);
        t.same(ruleBreaches(view, decisions), [], `rules: ${guardsAgainst}`);
        t.same(dispatchPass(view), decisions, `repeatable: ${guardsAgainst}`);
    }
    t.end();
});

void t.test("a guaranteed job preempts lower priorities and never other guaranteed work", t => {
    const reserved = jobOf({
        id: "held",
        queue: "counter",
        team: "dyers",
        steps: [{ count: 8 }],
        tasks: placedOn(0, ...keys(8)),
    });
    const lower = batchOn("lower", 1, 8);
    const runs = (index: number) => index === 0 ? runsOf("held", 8) : runsOf("lower", 8, 40_000, 50);
    const stops = dispatchPass(viewOf([reserved, lower, urgent(8)], executorsOf(2, index => ({ runs: runs(index) }))));
    t.same(new Set(stops.map(({ kind, jobId }) => `${kind} ${jobId}`)), new Set(["stop lower"]));
    const alone = dispatchPass(viewOf([reserved, urgent(8)], executorsOf(1, () => ({ runs: runsOf("held", 8) }))));
    t.same(alone, [], "guaranteed work is not stopped when there is nothing else");
    t.end();
});

void t.test("a job beyond its team's guarantee preempts nothing that costs more than the job's value", t => {
    const view = viewOf(
        [
            batchOn("old", 0, 8),
            jobOf({ id: "late", queue: "counter", acceptedAt: START - 60_000, steps: [{ ...gang, count: 8 }] }),
        ],
        executorsOf(1, () => ({ runs: runsOf("old", 8, 3_000, 50) })),
    );
    t.same(dispatchPass(view), []);
    t.end();
});

// Guards against acceptance times that are compared with the wall clock, which makes every job count as hopeless.
void t.test("decisions do not depend on how far the wall clock is from the clock of acceptance", t => {
    const jobs = [
        batchOn("old", 0, 8),
        jobOf({ id: "late", queue: "counter", acceptedAt: START - 60_000, steps: [{ ...gang, count: 8 }] }),
        jobOf({ id: "fresh", queue: "counter", steps: [{ ...gang, count: 8 }] }),
    ];
    const executors = executorsOf(2, index => ({ runs: index === 0 ? runsOf("old", 8, 3_000, 50) : [] }));
    const near = dispatchPass(viewOf(jobs, executors));
    const far = dispatchPass(viewOf(jobs, executors, { wallTime: START + 1_700_000_000_000 }));
    t.ok(near.some(({ jobId }) => jobId === "fresh"), "the job that can still be on time comes first");
    t.same(far, near);
    t.end();
});

// Guards against deadlines of steps wider than their service that assume a single wave: such steps would count as
// hopeless while they can still earn their full value.
void t.test("a step that needs several waves keeps its rank when one wave would be hopelessly late", t => {
    const wide = jobOf({
        id: "wide",
        queue: "counter",
        acceptedAt: START - 30_000,
        steps: [{ count: 4, demand: { accelerators: 8 } }],
    });
    const batch = jobOf({ id: "batch", steps: [{ count: 1, demand: { accelerators: 8 } }] });
    const [first] = dispatchPass(viewOf([batch, wide], executorsOf(1)));
    t.equal(first?.jobId, "wide");
    t.end();
});

// Guards against an urgent tight gang that is spread over racks, and so late, although a cheap preemption frees a rack.
void t.test("an urgent gang preempts lower priorities before it starts where it would be late", t => {
    const executorsPerRack = 3;
    const previewOn = (executor: number) =>
        jobOf({
            ...{ id: `preview${executor}`, queue: "preview", tasks: placedOn(executor, ...keys(8)) },
            steps: [{ count: 8, isGang: true, hasCheckpoints: true }],
        });
    const tight = jobOf({
        ...{ id: "tight", queue: "counter", team: "potters" },
        steps: [{ ...gang, count: executorsPerRack, demand: { accelerators: 8 } }],
    });
    const executors = executorsOf(12, index => ({
        runs: index % executorsPerRack === 0 ? runsOf(`preview${index}`, 8, 1_000, 1) : [],
    }));
    const view = viewOf([previewOn(0), previewOn(3), previewOn(6), previewOn(9), tight], executors);
    const kinds = (decisions: ReturnType<typeof dispatchPass>) => [...new Set(decisions.map(({ kind }) => kind))];
    t.strictSame(kinds(dispatchPass(view)), ["stop"]);
    t.strictSame(kinds(dispatchPass(view, { preemptsBeforeFallback: false })), ["start"]);
    t.end();
});

// Guards against a large job that missed its deadline and then waits behind all work that can still meet its own.
void t.test("a late job that needs a whole executor goes before work that can wait", t => {
    const large = jobOf({
        id: "large",
        acceptedAt: START - 25_000,
        steps: [{ count: 1, demand: { accelerators: 8 } }],
    });
    const patient = jobOf({
        id: "patient",
        queue: "preview",
        acceptedAt: START - 14_000,
        steps: [{ count: 8 }],
    });
    // Several executors, so that neither step counts as wide; only one has free resources.
    const others = Array.from({ length: 7 }, (_, index) => batchOn(`old${index + 1}`, index + 1, 8));
    const executors = executorsOf(8, index => ({ runs: index === 0 ? [] : runsOf(`old${index}`, 8) }));
    const [first] = dispatchPass(viewOf([patient, ...others, large], executors));
    t.equal(first?.jobId, "large");
    t.end();
});
