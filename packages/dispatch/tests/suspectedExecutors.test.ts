import type { Millis } from "@persimmonpitch/clock/clock.js";
import fc from "fast-check";
import t from "tap";
import { dispatchPass } from "../src/dispatchPass.js";
import type { DispatchView, EndView } from "../src/dispatchView.js";
import { executorsOf, jobOf, linesOf, START, viewOf } from "./dispatchFixture.js";

const SEED = 34_004;
const RUNS = 500;

/** Time without any event after which work that fits must have started. */
const LIMIT_MS: Millis = 30_000;
const STEP_MS: Millis = 1_000;
const ACCELERATORS = 8;

/** Failures of jobs on one executor, in order; a `true` is a success in between. */
const endsInput = fc.array(fc.record({ job: fc.integer({ min: 0, max: 4 }), isFailure: fc.boolean() }), {
    maxLength: 6,
});

const viewInput = fc.record({
    executors: fc.array(fc.record({ ends: endsInput, hasLabel: fc.boolean() }), { minLength: 1, maxLength: 6 }),
    jobs: fc.array(
        fc.record({
            count: fc.integer({ min: 1, max: 12 }),
            accelerators: fc.integer({ min: 1, max: ACCELERATORS }),
            isGang: fc.boolean(),
            needsLabel: fc.boolean(),
            isLongRunning: fc.boolean(),
            priority: fc.constantFrom("counter", "batch", "preview"),
        }),
        { minLength: 1, maxLength: 5 },
    ),
});
type ViewInput = typeof viewInput extends fc.Arbitrary<infer Input> ? Input : never;

const endOf = ({ job, isFailure }: ViewInput["executors"][number]["ends"][number], index: number): EndView => ({
    jobId: `earlier${job}`,
    key: "0.0.0",
    isFailure,
    at: START - 100 + index,
});

const buildView = ({ executors, jobs }: ViewInput, afterMs: Millis): DispatchView =>
    viewOf(
        jobs.map(({ count, accelerators, isGang, needsLabel, isLongRunning, priority }, index) =>
            jobOf({
                id: `job${index}`,
                queue: priority,
                steps: [{
                    count,
                    demand: { accelerators },
                    isGang,
                    isLongRunning,
                    ...(needsLabel ? { requiredLabel: "dye" } : {}),
                }],
            })
        ),
        executorsOf(executors.length, index => ({
            labels: executors[index]?.hasLabel === true ? ["dye"] : [],
            recentEnds: executors[index]?.ends.map(endOf) ?? [],
        })),
        { now: START + afterMs, wallTime: START + afterMs },
    );

/** Whether the job fits on executors that run nothing. */
const fits = ({ executors }: ViewInput, { count, accelerators, isGang, needsLabel }: ViewInput["jobs"][number]) => {
    const usable = executors.filter(({ hasLabel }) => hasLabel || !needsLabel).length;
    return usable * Math.floor(ACCELERATORS / accelerators) >= (isGang ? count : 1);
};

const startsAfter = (input: ViewInput, afterMs: Millis): boolean =>
    dispatchPass(buildView(input, afterMs)).some(({ kind }) => kind === "start");

const startsInTime = (input: ViewInput): boolean => {
    const times = Array.from({ length: LIMIT_MS / STEP_MS + 1 }, (_, index) => index * STEP_MS);
    return times.some(afterMs => startsAfter(input, afterMs));
};

// Guards against executors that get no work because of earlier failures, and no success that would show them to be
// sound: gangs waited for ever after a few jobs with a fault of their own.
void t.test("work that fits starts some time after any failures if nothing runs", t => {
    fc.assert(
        fc.property(viewInput, input => !input.jobs.some(job => fits(input, job)) || startsInTime(input)),
        { seed: SEED, numRuns: RUNS },
    );
    t.end();
});

// Guards against a failing executor that gets a whole queue of work as soon as its first wait is over.
void t.test("a probing executor gets one task, or one gang", t => {
    const ends = [{ job: 1, isFailure: true }, { job: 2, isFailure: true }];
    const job = { count: 4, accelerators: 1, needsLabel: false, isLongRunning: false, priority: "batch" } as const;
    const startsOf = (isGang: boolean) =>
        dispatchPass(buildView({
            executors: [{ ends, hasLabel: false }],
            jobs: [{ ...job, isGang }, { ...job, isGang }],
        }, 6_000)).map(decision => decision.kind === "start" ? decision.tasks.length : 0);
    t.same(startsOf(false), [1], "one task");
    t.same(startsOf(true), [4], "one gang");
    t.end();
});

// Guards against sound executors that are suspected because several jobs fail wherever they run.
void t.test("jobs that failed on an executor that then succeeded are not held against others", t => {
    const failed = (job: number) => ({ job, isFailure: true });
    const input = (lastEndOfFirst: { job: number; isFailure: boolean; }): ViewInput => ({
        executors: [
            { ends: [failed(1), failed(2), lastEndOfFirst], hasLabel: false },
            { ends: [failed(1), failed(2)], hasLabel: true },
        ],
        jobs: [{
            count: 1,
            accelerators: 1,
            isGang: false,
            needsLabel: true,
            isLongRunning: false,
            priority: "batch",
        }],
    });
    t.equal(startsAfter(input({ job: 3, isFailure: false }), 100), true, "the first executor has succeeded since");
    t.equal(startsAfter(input({ job: 3, isFailure: true }), 100), false, "no executor has succeeded");
    t.end();
});

// Guards against work on executors that are slow after their start while others are free, and against work that waits
// although only such executors are left.
void t.test("a cold executor ranks behind the others", t => {
    const startsWith = (coldRemainingMs: number) =>
        linesOf(dispatchPass(viewOf(
            [jobOf({ id: "a", steps: [{ count: 2, demand: { accelerators: ACCELERATORS } }] })],
            executorsOf(3, index => index === 0 ? { coldRemainingMs } : {}),
        )));
    t.same(startsWith(2_000), ["start a run 1: 0.0.0 on vm1", "start a run 1: 0.0.1 on vm2"]);
    t.same(startsWith(0), ["start a run 1: 0.0.0 on vm0", "start a run 1: 0.0.1 on vm1"]);
    const gang = jobOf({ id: "g", steps: [{ count: 3, isGang: true, demand: { accelerators: ACCELERATORS } }] });
    const onColdToo = dispatchPass(viewOf([gang], executorsOf(3, index => index === 0 ? { coldRemainingMs: 1 } : {})));
    t.same(onColdToo.map(({ kind }) => kind), ["start"]);
    t.end();
});
