import { dispatchPass, runPass } from "@persimmonpitch/dispatch/dispatchPass.js";
import type { DispatchView } from "@persimmonpitch/dispatch/dispatchView.js";
import { DISPATCH_CASES, type DispatchCase, makeDispatchView } from "../dispatchLoad.js";
import type { Measurement } from "../measurement.js";
import { eachSize } from "../measurement.js";
import { PLAN, TODAY } from "../planSizes.js";

const SEED = 1;
const WARM_UP_PASSES = 30;
/** Of so many passes the 99th percentile is the second longest. */
const TIMED_PASSES = 150;
/** Most time for the passes of one case; slow ones are then repeated less often. */
const MAX_WARM_UP_MS = 1_000;
const MAX_TIMED_MS = 10_000;
const MICROSECONDS_PER_MS = 1_000;

const percentile = (ascending: readonly number[], share: number): number =>
    ascending[Math.min(ascending.length - 1, Math.ceil(ascending.length * share) - 1)] ?? 0;

/** Times of passes on one view in milliseconds; it ends early, but not before the first pass, after `mostMs`. */
const timePasses = (view: DispatchView, passes: number, mostMs: number): readonly number[] => {
    const times: number[] = [];
    let total = 0;
    while (times.length < passes && total < mostMs) {
        const before = performance.now();
        dispatchPass(view);
        const took = performance.now() - before;
        times.push(took);
        total += took;
    }
    return times;
};

const measureCase = (executors: number, dispatchCase: DispatchCase): readonly (readonly [string, number])[] => {
    const view = makeDispatchView(executors, dispatchCase, SEED);
    timePasses(view, WARM_UP_PASSES, MAX_WARM_UP_MS);
    const before = process.cpuUsage();
    const times = [...timePasses(view, TIMED_PASSES, MAX_TIMED_MS)].sort((left, right) => left - right);
    const { user, system } = process.cpuUsage(before);
    const { decisions, executors: rooms } = runPass(view);
    return [
        [`${dispatchCase} p50 ms`, percentile(times, 0.5)],
        [`${dispatchCase} p99 ms`, percentile(times, 0.99)],
        [`${dispatchCase} cpu ms`, (user + system) / times.length / MICROSECONDS_PER_MS],
        [`${dispatchCase} decisions`, decisions.length],
        [`${dispatchCase} visits`, rooms.reduce((sum, { visits }) => sum + visits, 0)],
    ];
};

/** Passes over jobs of steps, on views in the proportions of the plan. */
export const dispatchPasses: Measurement = {
    description: "passes of the controller over jobs of steps: 4.84 tasks and 1.08 waiting jobs an executor",
    sizeUnit: "executor",
    sizes: [TODAY.executors, 100, 300, PLAN.workers],
    quickSizes: [2, 5, TODAY.executors],
    runsAlone: true,
    run: eachSize(executors => {
        const cases = Object.keys(DISPATCH_CASES) as DispatchCase[];
        return Promise.resolve(Object.fromEntries(cases.flatMap(one => measureCase(executors, one))));
    }),
};
