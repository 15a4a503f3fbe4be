import type { TaskProgress } from "@persimmonpitch/workload/progress.js";
import fc from "fast-check";
import type { DispatchView, JobView, RunView } from "../src/dispatchView.js";
import { executorsOf, jobOf, placedOn, QUEUES, runOf, START, stepOf, viewOf } from "./dispatchFixture.js";

const maybe = <Value>(value: Value) => fc.option(fc.constant(value), { nil: undefined });

const stepInput = fc.record({
    count: fc.integer({ min: 1, max: 6 }),
    demand: fc.record({
        accelerators: fc.integer({ min: 0, max: 8 }),
        milliCores: fc.integer({ min: 0, max: 16_000 }),
        memoryMb: fc.integer({ min: 0, max: 32_000 }),
    }),
    declaredMs: fc.integer({ min: 0, max: 20_000 }),
    isGang: fc.boolean(),
    isTight: fc.boolean(),
    hasCheckpoints: fc.boolean(),
    usesIdleCores: fc.boolean(),
    isLongRunning: fc.boolean(),
    dataRack: maybe("rack1"),
    requiredLabel: maybe("dye"),
    maxPerExecutor: maybe(2),
});

/**
 * State of a task: 0 to 3 is unplaced after that many runs, 4 is done, and 5 and above is placed on executor 0 and
 * above.
 */
const taskState = fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 12 }));

const jobInput = fc.record({
    queue: fc.constantFrom(...Object.keys(QUEUES) as (keyof typeof QUEUES)[]),
    team: fc.constantFrom("weavers", "dyers", "potters"),
    age: fc.integer({ min: 0, max: 30_000 }),
    steps: fc.array(stepInput, { minLength: 1, maxLength: 3 }),
    repetition: maybe({ count: 2, firstDueAt: START - 100, intervalMs: 200 }),
    states: fc.array(taskState, { minLength: 20, maxLength: 20 }),
});

const runInput = fc.record({
    percent: fc.option(fc.integer({ min: 0, max: 100 }), { nil: undefined }),
    noProgressMs: fc.integer({ min: 0, max: 6_000 }),
    elapsedMs: fc.integer({ min: 0, max: 20_000 }),
    isStopping: fc.boolean(),
});

/** Input of `buildView`: jobs, runs and executors of a random view. */
export const viewInput = fc.record({
    jobs: fc.array(jobInput, { maxLength: 8 }),
    runs: fc.array(runInput, { minLength: 10, maxLength: 10 }),
    executors: fc.array(
        fc.record({
            takesWork: fc.boolean(),
            hasLabel: fc.boolean(),
            hasDeskService: fc.boolean(),
            leavesInMs: maybe(900),
            fails: fc.boolean(),
        }),
        { minLength: 1, maxLength: 7 },
    ),
});

/** Builds a view whose runs and placements agree. */
export const buildView = (
    { jobs, runs, executors }: typeof viewInput extends fc.Arbitrary<infer Input> ? Input : never,
): DispatchView => {
    const runsOn = executors.map((): RunView[] => []);
    const views = jobs.map(({ queue, team, age, steps, repetition, states }, number): JobView => {
        const id = `job${number}`;
        const chained = steps.map((step, index) => ({ ...stepOf(step), after: index > 1 ? [index - 1] : [] }));
        const keys = chained.flatMap(({ count }, step) =>
            Array.from({ length: count }, (_, index) => `0.${step}.${index}`)
        );
        const tasks = keys.map((key, index) => {
            const state = states[index % states.length] ?? 0;
            const input = runs[(number + index) % runs.length];
            const executor = state - 5;
            if (executor < 0 || executor >= executors.length || input === undefined) {
                return [key, { run: state % 4, isDone: state === 4 }] as const;
            }
            const { percent, noProgressMs, elapsedMs, isStopping } = input;
            runsOn[executor]?.push(
                runOf(id, key, elapsedMs, percent, { percent, isStopping, progressAt: START - noProgressMs }),
            );
            return [key, placedOn(executor, key)[key] ?? {}] as const;
        });
        const input = { id, queue, team, acceptedAt: START - age, steps: chained, repetition };
        return jobOf({ ...input, tasks: Object.fromEntries<Partial<TaskProgress>>(tasks) });
    });
    return viewOf(
        views,
        executorsOf(executors.length, index => {
            const { takesWork = true, hasLabel = false, hasDeskService = true, leavesInMs, fails = false } =
                executors[index]
                    ?? {};
            const recentEnds = ["a", "b"].map(jobId => ({ jobId, key: "0.0.0", isFailure: fails, at: START - 1_000 }));
            const kind = { labels: hasLabel ? ["dye"] : [], service: hasDeskService ? "desk" : "other" };
            return { ...kind, takesWork, leavesInMs, recentEnds, runs: runsOn[index] ?? [] };
        }),
    );
};
