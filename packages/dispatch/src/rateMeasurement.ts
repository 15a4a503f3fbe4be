import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { RunView } from "./dispatchView.js";

/** Measured rate of one run. */
export interface RateMeasurement {
    /** Run time of the whole task at this rate. */
    readonly totalMs: Millis;
    /** Progress over which the rate was measured, in percent of the work. */
    readonly percent: number;
    readonly durationMs: Millis;
}

/** Measures the rate of a run since its work began; undefined before its first progress. */
export const measureRate = (
    { percent, firstPercent = 0, firstListedAt, progressAt }: RunView,
    workingSince: Millis | undefined,
): RateMeasurement | undefined => {
    if (percent === undefined || firstListedAt === undefined || progressAt === undefined) {
        return undefined;
    }
    const durationMs = progressAt - Math.max(firstListedAt, workingSince ?? firstListedAt);
    const done = percent - firstPercent;
    return done > 0 && durationMs > 0 ? { totalMs: 100 * durationMs / done, percent: done, durationMs } : undefined;
};
