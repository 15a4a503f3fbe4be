import type { Millis } from "@persimmonpitch/clock/clock.js";
import { isCold } from "@persimmonpitch/workload/executorReport.js";
import type { DispatchOptions } from "./dispatchOptions.js";
import type { EndView, ExecutorView, JobView } from "./dispatchView.js";
import { progressOf } from "./openOccurrences.js";

/**
 * A `failing` executor gets no tasks, a `probing` one gets a single task or gang at a time, and a `suspect` one gets
 * only tasks that fit on no healthy executor. `failing` and `probing` end by time, because work that could end them may
 * never come.
 */
export type ExecutorHealth = "healthy" | "suspect" | "probing" | "failing";

/** Failures of a single job may be caused by the job; failures of several jobs point to the executor. */
const MIN_FAILED_JOBS = 2;

/**
 * Jobs that failed on an executor which then succeeded with other work. Their failures are likely their own, so they
 * say nothing about any executor.
 */
export const findFaultyJobs = (executors: readonly ExecutorView[]): ReadonlySet<string> =>
    new Set(executors.flatMap(({ recentEnds }) => {
        const lastSuccess = recentEnds.findLastIndex(({ isFailure }) => !isFailure);
        return recentEnds.slice(0, Math.max(0, lastSuccess))
            .filter(({ isFailure }) => isFailure)
            .map(({ jobId }) => jobId);
    }));

/** Whether runs of different jobs, none of them known as faulty, failed on the executor since its last success. */
const failsAllJobs = ({ recentEnds }: ExecutorView, faultyJobs: ReadonlySet<string>): boolean => {
    const lastSuccess = recentEnds.findLastIndex(({ isFailure }) => !isFailure);
    const failedJobs = recentEnds.slice(lastSuccess + 1).map(({ jobId }) => jobId)
        .filter(jobId => !faultyJobs.has(jobId));
    return new Set(failedJobs).size >= MIN_FAILED_JOBS;
};

/** Health of an executor that fails all jobs, by the time since its last failure. */
const healthAfterFailures = (
    sinceFailureMs: Millis,
    { probeAfterMs, probeForMs }: DispatchOptions,
): ExecutorHealth => {
    if (sinceFailureMs < probeAfterMs) {
        return "failing";
    }
    return sinceFailureMs < probeAfterMs + probeForMs ? "probing" : "suspect";
};

/** Whether a run ended without failure before its task was done, as after a stop because it was stalled or slow. */
const isInterrupted = (jobs: ReadonlyMap<string, JobView>, { jobId, key, isFailure }: EndView): boolean => {
    const view = jobs.get(jobId);
    return !isFailure && view !== undefined && !progressOf(view, key).isDone;
};

/** Whether a run that was first listed after the given time has made progress. */
const hasProgressSince = ({ runs }: ExecutorView, time: Millis): boolean =>
    runs.some(({ firstListedAt = 0, progressAt = 0 }) => firstListedAt >= time && progressAt > firstListedAt);

/**
 * Whether the last run was interrupted recently and no run has made progress since. A preemption looks the same as an
 * eviction, so such an executor is only ranked behind the others.
 */
const hasRecentInterruption = (
    executor: ExecutorView,
    jobs: ReadonlyMap<string, JobView>,
    now: Millis,
    windowMs: Millis,
): boolean => {
    const lastEnd = executor.recentEnds.at(-1);
    return lastEnd !== undefined
        && now - lastEnd.at < windowMs
        && isInterrupted(jobs, lastEnd)
        && !hasProgressSince(executor, lastEnd.at);
};

/** What the health of an executor depends on besides its own ends. */
export interface HealthContext {
    readonly jobs: ReadonlyMap<string, JobView>;
    readonly faultyJobs: ReadonlySet<string>;
    readonly now: Millis;
    readonly options: DispatchOptions;
}

/** Derives the health of an executor from its recent ends, from whether a run on it is stalled or slow and if it is cold. */
export const executorHealth = (
    executor: ExecutorView,
    hasUnhealthyRun: boolean,
    { jobs, faultyJobs, now, options }: HealthContext,
): ExecutorHealth => {
    if (failsAllJobs(executor, faultyJobs)) {
        const lastFailureAt = executor.recentEnds.at(-1)?.at ?? now;
        return healthAfterFailures(now - lastFailureAt, options);
    }
    const isSuspect = hasUnhealthyRun || isCold(executor)
        || hasRecentInterruption(executor, jobs, now, options.suspectMs);
    return isSuspect ? "suspect" : "healthy";
};
