import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { DispatchOptions } from "./dispatchOptions.js";
import type { ExecutorView } from "./dispatchView.js";

/** `failing` takes nothing, `probing` one task at a time, `suspect` only what has no better place. */
export type ExecutorHealth = "healthy" | "suspect" | "probing" | "failing";

/** Failures of one job may be its own fault; those of two jobs point at the executor. */
const MIN_FAILED_JOBS = 2;

/** Whether the executor failed different jobs and nothing has succeeded since. */
const failsEverything = ({ recentEnds }: ExecutorView): boolean => {
    const lastSuccess = recentEnds.findLastIndex(({ isFailure }) => !isFailure);
    const failedJobs = new Set(recentEnds.slice(lastSuccess + 1).map(({ jobId }) => jobId));
    return failedJobs.size >= MIN_FAILED_JOBS;
};

/** Judges an executor by its last ends and by whether a run on it makes no progress. */
export const executorHealth = (
    executor: ExecutorView,
    hasUnhealthyRun: boolean,
    now: Millis,
    { probeAfterMs }: DispatchOptions,
): ExecutorHealth => {
    if (failsEverything(executor)) {
        const lastEnd = executor.recentEnds.at(-1)?.at ?? now;
        return now - lastEnd >= probeAfterMs ? "probing" : "failing";
    }
    return hasUnhealthyRun ? "suspect" : "healthy";
};
