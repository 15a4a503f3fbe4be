import fc from "fast-check";
import t from "tap";
import { dispatchPass } from "../src/dispatchPass.js";
import type { DispatchView, ExecutorView } from "../src/dispatchView.js";
import {
    executorsOf,
    type JobInput,
    jobOf,
    linesOf,
    placedOn,
    runOf,
    START,
    type StepInput,
    viewOf,
} from "./dispatchFixture.js";
import { ruleBreaches } from "./dispatchRules.js";
import { buildView, viewInput } from "./generatedView.js";

const SEED = 20_252;
const RUNS = 400;

/** Executors 0 and 1 take 2.5 times as long as the others. */
const SLOWNESS = new Map([["vm0", 2.5], ["vm1", 2.5]]);
const COUNT = 8;

const viewWith = (
    jobs: readonly JobInput[],
    change: (index: number) => Partial<ExecutorView> = () => ({}),
): DispatchView => viewOf(jobs.map(jobOf), executorsOf(COUNT, change), { slowness: SLOWNESS });

const GANG: StepInput = { count: 2, isGang: true, demand: { accelerators: 8 }, declaredMs: 3_000 };

/** An executor that one run of another job holds whole, with the time that the run still takes. */
const heldBy = (index: number, remainingMs: number): Pick<ExecutorView, "runs"> => {
    const elapsedMs = 1_000;
    const percent = 100 * elapsedMs / (elapsedMs + remainingMs);
    const demand = { accelerators: 8, milliCores: 0, memoryMb: 0 };
    return { runs: [runOf(`held${index}`, "0.0.0", elapsedMs, percent, { demand })] };
};

const heldJob = (index: number): JobInput => ({
    id: `held${index}`,
    acceptedAt: START - 2_000,
    queue: "batch",
    steps: [{ demand: { accelerators: 8 }, declaredMs: 5_000 }],
    tasks: placedOn(index, "0.0.0"),
});

/** A view in which all executors of normal speed are held for some time. */
const viewWithNormalHeld = (jobs: readonly JobInput[], remainingMs: number): DispatchView =>
    viewWith(
        [...jobs, ...Array.from({ length: COUNT - 2 }, (_, index) => heldJob(index + 2))],
        index => index < 2 ? {} : heldBy(index, remainingMs),
    );

const CASES: Readonly<Record<string, DispatchView>> = {
    "a gang that would be late on slow executors": viewWith([{ id: "a", queue: "counter", steps: [GANG] }]),
    "a gang with slack": viewWith([{ id: "a", queue: "preview", steps: [GANG] }]),
    "a gang with slack that fits neither on slow nor on normal executors alone": viewWith([
        { id: "a", queue: "preview", steps: [{ ...GANG, count: 7 }] },
    ]),
    "tasks with slack, more than fit on slow executors": viewWith([
        { id: "a", queue: "preview", steps: [{ count: 3, demand: { accelerators: 8 }, declaredMs: 3_000 }] },
    ]),
    "urgent work and work with slack": viewWith([
        { id: "slack", queue: "preview", acceptedAt: START - 1_000, steps: [GANG] },
        { id: "urgent", queue: "counter", steps: [GANG] },
    ]),
    "late work leaves normal executors free": viewWith([
        { id: "a", queue: "counter", acceptedAt: START - 5_000, steps: [GANG] },
    ]),
    "a gang that waits, as normal executors are free soon": viewWithNormalHeld(
        [{ id: "a", queue: "counter", acceptedAt: START, steps: [GANG] }],
        2_000,
    ),
    "a gang that starts on slow executors, as normal ones are held for longer than the slowdown": viewWithNormalHeld(
        [{ id: "a", queue: "counter", acceptedAt: START, steps: [GANG] }],
        15_000,
    ),
};

// Guards against urgent gangs that are late from the start because one member is on a slow executor, and against slow
// executors that stay unused.
void t.test("work is placed by its slack and the speeds of executors", t => {
    for (const [name, view] of Object.entries(CASES)) {
        const decisions = dispatchPass(view, { preemptionMargin: Infinity });
        t.matchSnapshot(linesOf(decisions).join("\n"), name);
    }
    t.end();
});

// Guards against wrong speeds that block work: with all normal executors gone, urgent work starts on slow ones.
void t.test("work that would be late on all executors starts nevertheless", t => {
    const view = viewWith([{ id: "a", queue: "counter", steps: [GANG] }], index => ({ takesWork: index < 2 }));
    t.matchSnapshot(linesOf(dispatchPass(view)).join("\n"));
    t.end();
});

const slownessInput = fc.array(fc.constantFrom(1, 1, 1, 1.5, 2, 2.5, 5), { minLength: 7, maxLength: 7 });

const slownessOf = (values: readonly number[]): ReadonlyMap<string, number> =>
    new Map(values.flatMap((value, index) => value === 1 ? [] : [[`vm${index}`, value] as const]));

void t.test("decisions on random views with random speeds keep the rules and are repeatable", t => {
    fc.assert(
        fc.property(viewInput, slownessInput, (input, values) => {
            const slowness = slownessOf(values);
            const view = { ...buildView(input), slowness };
            const decisions = dispatchPass(view);
            t.strictSame(dispatchPass({ ...buildView(input), slowness }), decisions);
            const breaches = ruleBreaches(view, decisions);
            if (breaches.length > 0) {
                throw new Error(breaches.join("; "));
            }
        }),
        { seed: SEED, numRuns: RUNS },
    );
    t.end();
});

// Guards against clusters of equal executors that are served differently because speeds are learned at all.
void t.test("without slow executors, decisions are those of a view without speeds", t => {
    fc.assert(
        fc.property(viewInput, input => {
            t.strictSame(dispatchPass({ ...buildView(input), slowness: new Map() }), dispatchPass(buildView(input)));
        }),
        { seed: SEED, numRuns: RUNS },
    );
    t.end();
});

// Guards against wrong speeds that block work for good: whatever fits on an empty cluster starts without delay if all
// executors count as slow, or if nothing else runs.
void t.test("on executors without runs, the same units start whatever their speeds", t => {
    const isOpenStart = (view: DispatchView): readonly string[] =>
        dispatchPass(view).flatMap(one => one.kind === "start" ? [`${one.jobId}.${one.tasks[0]?.key ?? ""}`] : []);
    fc.assert(
        fc.property(viewInput, slownessInput, (input, values) => {
            const [job] = input.jobs;
            const single = { ...input, jobs: job === undefined ? [] : [{ ...job, states: job.states.map(() => 0) }] };
            const view = buildView(single);
            const before = isOpenStart(view).length;
            const after = isOpenStart({ ...view, slowness: slownessOf(values) }).length;
            if (before > 0 && after === 0) {
                throw new Error("nothing starts");
            }
        }),
        { seed: SEED, numRuns: RUNS },
    );
    t.end();
});

// Guards against work that is placed on a slow executor because it has slack and is then evicted from it again and again.
void t.test("runs are not evicted for the known slowness of their executor", t => {
    const keys = Array.from({ length: 12 }, (_, index) => `0.0.${index}`);
    const tasks = Object.fromEntries(keys.flatMap((key, index) => Object.entries(placedOn(index % 6, key))));
    const job = jobOf({ id: "a", queue: "preview", acceptedAt: START - 4_000, steps: [{ count: 12 }], tasks });
    const executors = executorsOf(6, index => ({
        runs: [index, index + 6].map(task => runOf("a", `0.0.${task}`, 4_000, index === 5 ? 12.5 : 40)),
    }));
    const stops = (slowness: ReadonlyMap<string, number>): readonly string[] =>
        linesOf(dispatchPass(viewOf([job], executors, { slowness })));
    t.strictSame(stops(new Map()), ["stop a.0.0.5 run 1: slow", "stop a.0.0.11 run 1: slow"]);
    t.strictSame(stops(new Map([["vm5", 2.5]])), []);
    t.end();
});
