import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { Step } from "@persimmonpitch/workload/step.js";
import type { ExecutorView, JobView, RunView } from "./dispatchView.js";

/** A run on a simulated executor, which is also the view of the run for a pass. */
export interface FakeRun extends RunView {
    /** Index of its executor. */
    readonly executorIndex: number;
    percent: number;
    progressAt: Millis;
    isStopping: boolean;
}

/** Runs that work and end together: the members of a gang, or one run. */
export interface FakeGroup {
    readonly view: JobView;
    readonly stepIndex: number;
    readonly step: Step;
    readonly members: readonly FakeRun[];
    /** Run time of the whole task at full speed on a healthy executor. */
    readonly trueMs: Millis;
    /** Work saved by the checkpoint that the runs resumed from, as time at full speed. */
    readonly savedMs: Millis;
    /** Time at which the checkpoint is restored and the work begins. */
    readonly workStartsAt: Millis;
    /** Work at which the runs fail; infinite for runs that do not fail. */
    readonly failsAtMs: Millis;
    /** Work done, as time at full speed. */
    doneMs: Millis;
    stopsAt: Millis;
}

/** Speed of an executor at a time: 1 is full speed, 0 is no progress. */
export type Rate = (executorIndex: number, now: Millis) => number;

/**
 * Speed of a group: that of its slowest member, divided by the slowdown if it is spread over racks or not in the rack
 * of its data.
 */
export const groupRate = (
    { step, members }: FakeGroup,
    executors: readonly ExecutorView[],
    rate: Rate,
    now: Millis,
    spreadSlowdown: number,
): number => {
    const rates = members.map(({ executorIndex }) => rate(executorIndex, now));
    const racks = new Set(members.map(({ executorIndex }) => executors[executorIndex]?.rack));
    const isSpread = step.isGang && step.isTight && racks.size > 1;
    const isAwayFromData = step.dataRack !== undefined && (racks.size > 1 || !racks.has(step.dataRack));
    return Math.min(...rates) / (isSpread || isAwayFromData ? spreadSlowdown : 1);
};

/** Updates the reported progress of a group, in whole percents. */
export const reportProgress = ({ members, doneMs, trueMs }: FakeGroup, now: Millis): void => {
    const percent = Math.min(100, Math.floor(100 * doneMs / trueMs));
    for (const run of members) {
        if (percent > run.percent) {
            run.percent = percent;
            run.progressAt = now;
        }
    }
};
