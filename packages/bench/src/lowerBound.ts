import { isCounted } from "./measures.js";
import { POLICIES } from "./policies.js";
import { replay } from "./replay.js";
import type { JobResult, ReplayResult } from "./replayResult.js";
import type { Trace } from "./traceSchema.js";

interface Remaining {
    readonly submitAt: number;
    remainingMs: number;
}

/**
 * Mean completion time under shortest remaining time first on one machine as fast as all accelerators together.
 * Any schedule of gangs gives a schedule of that machine in which no job ends later, so no policy has a lower mean.
 */
const squashedMean = (jobs: readonly JobResult[], capacity: number): number => {
    const arrivals = jobs
        .map(({ acceptedAt, trace: { trueRunMs, spec: { gang } } }): Remaining => ({
            submitAt: acceptedAt,
            remainingMs: trueRunMs * gang.vms * gang.acceleratorsPerVm / capacity,
        }))
        .sort((a, b) => a.submitAt - b.submitAt);
    const active: Remaining[] = [];
    let now = 0;
    let total = 0;
    const runUntil = (until: number) => {
        for (let job = active[0]; job !== undefined && now < until; job = active[0]) {
            const step = Math.min(job.remainingMs, until - now);
            now += step;
            job.remainingMs -= step;
            if (job.remainingMs <= 0) {
                total += now - job.submitAt;
                active.shift();
            }
        }
        now = Math.max(now, until);
    };
    for (const arrival of arrivals) {
        runUntil(arrival.submitAt);
        const position = active.findIndex(({ remainingMs }) => remainingMs > arrival.remainingMs);
        active.splice(position < 0 ? active.length : position, 0, arrival);
    }
    const work = active.reduce((sum, { remainingMs }) => sum + remainingMs, 0);
    // A margin against rounding, so that the last job ends within the last run.
    runUntil(now + work + 1);
    return jobs.length === 0 ? 0 : total / jobs.length;
};

/**
 * A mean completion time that no policy can undercut for the jobs that this one finished or left unfinished:
 * the longer of the run times and the squashed schedule.
 */
export const meanCompletionBound = (result: ReplayResult): number => {
    const jobs = result.jobs.filter(isCounted);
    const capacity = result.trace.deployment.vms.reduce((sum, { accelerators }) => sum + accelerators, 0);
    const meanRun = jobs.reduce((sum, { trace: { trueRunMs } }) => sum + trueRunMs, 0) / Math.max(1, jobs.length);
    return Math.max(meanRun, squashedMean(jobs, capacity));
};

/**
 * Jobs whose needed-by time was feasible when they were submitted: the deadline oracle meets it in the same trace
 * with the same faults. The oracle knows true run times and leaves out work that may wait.
 */
export const feasibleJobs = (trace: Trace): ReadonlySet<string> => {
    if (trace.jobs.every(({ spec }) => spec.neededBy === undefined)) {
        return new Set();
    }
    const jobs = trace.jobs.filter(({ spec }) =>
        spec.neededBy !== undefined || spec.workClass === "urgent" || spec.workClass === "interactive"
    );
    const { jobs: results } = replay({ ...trace, jobs }, POLICIES.deadlineOracle);
    const inTime = results.filter(({ state, endedAt, trace: { spec } }) =>
        state === "finished" && spec.neededBy !== undefined && endedAt <= spec.neededBy
    );
    return new Set(inTime.map(({ trace: { jobId } }) => jobId));
};
