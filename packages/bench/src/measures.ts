import type { WorkClass } from "@persimmonpitch/schema/job.js";
import { workClassSchema } from "@persimmonpitch/schema/job.js";
import { build } from "hdr-histogram-js";
import type { Measures, Times } from "./measuresSchema.js";
import type { HeadWait, JobResult, ReplayResult, TimedSample } from "./replayResult.js";

/** Run times below this do not inflate the bounded slowdown. */
const SLOWDOWN_BOUND_MS = 10_000;
const SECOND_MS = 1_000;

/** Mean, percentiles and maximum of times. */
export const summarize = (times: readonly number[]): Times => {
    const histogram = build({ numberOfSignificantValueDigits: 3 });
    for (const time of times) {
        histogram.recordValue(Math.round(time));
    }
    const at = (percentile: number) => times.length === 0 ? 0 : histogram.getValueAtPercentile(percentile);
    return {
        count: times.length,
        meanMs: times.reduce((sum, time) => sum + time, 0) / Math.max(1, times.length),
        p50Ms: at(50),
        p95Ms: at(95),
        p99Ms: at(99),
        maxMs: times.reduce((most, time) => Math.max(most, time), 0),
    };
};

/** Finished, or still without an answer at the end of the replay: starving a job must not improve a mean. */
export const isCounted = ({ state }: JobResult): boolean =>
    state !== "failed" && state !== "refused" && state !== "cancelled";

/** Completion times of the counted jobs, as far as they are known. */
export const completionTimes = (jobs: readonly JobResult[], workClass?: WorkClass): number[] =>
    jobs
        .filter(job => isCounted(job) && (workClass === undefined || job.trace.spec.workClass === workClass))
        .map(({ endedAt, acceptedAt }) => endedAt - acceptedAt);

const slowdownOf = ({ endedAt, acceptedAt, trace: { trueRunMs } }: JobResult): number =>
    Math.max(1, (endedAt - acceptedAt) / Math.max(trueRunMs, SLOWDOWN_BOUND_MS));

const measureSlowdown = (jobs: readonly JobResult[]): Measures["boundedSlowdown"] => {
    const slowdowns = jobs.filter(isCounted).map(slowdownOf).sort((a, b) => a - b);
    const mean = slowdowns.reduce((sum, slowdown) => sum + slowdown, 0) / Math.max(1, slowdowns.length);
    return { mean, p95: slowdowns[Math.floor(slowdowns.length * 0.95)] ?? 0 };
};

/** Jain's index of `values`: 1 if all are equal, 1/n if one has everything. */
export const jainIndex = (values: readonly number[]): number => {
    const sum = values.reduce((total, value) => total + value, 0);
    const squares = values.reduce((total, value) => total + value ** 2, 0);
    return squares === 0 ? 1 : sum ** 2 / (values.length * squares);
};

/** Service rate of each team: the mean of run time over completion time of its jobs. */
const serviceRates = (jobs: readonly JobResult[]): number[] => {
    const rates = new Map<string, number[]>();
    for (const job of jobs.filter(isCounted)) {
        const { team } = job.trace.spec;
        const ofTeam = rates.get(team) ?? [];
        ofTeam.push(1 / slowdownOf(job));
        rates.set(team, ofTeam);
    }
    return [...rates.values()].map(ofTeam => ofTeam.reduce((sum, rate) => sum + rate, 0) / ofTeam.length);
};

/** Time-weighted share of free accelerators that cannot serve the wanted shapes. */
export const measureFragmentation = (samples: readonly TimedSample[], capacity: number) => {
    const integrate = (value: (sample: TimedSample) => number) =>
        samples.reduce((sum, sample) => sum + value(sample) * (sample.untilAt - sample.at), 0);
    const free = integrate(sample => sample.free);
    const unusable = integrate(sample => sample.unusable);
    const time = integrate(() => 1);
    return {
        fragmentation: free === 0 ? 0 : unusable / free,
        scatter: free === 0 ? 0 : integrate(sample => sample.scattered) / free,
        unusableShare: time === 0 ? 0 : unusable / (capacity * time),
    };
};

const measureHeadWaits = (waits: readonly HeadWait[]): Measures["headWait"] => {
    const longest = waits.reduce<HeadWait | undefined>(
        (most, wait) => most === undefined || wait.waitMs > most.waitMs ? wait : most,
        undefined,
    );
    const excesses = waits.map(({ waitMs, boundMs }) => waitMs - boundMs).filter(excess => excess > 0);
    return {
        count: waits.length,
        longestMs: longest?.waitMs ?? 0,
        longestBoundMs: longest?.boundMs ?? 0,
        worstExcessMs: Math.max(0, ...excesses),
        overBound: excesses.length,
    };
};

/** Cancelled and refused jobs have their answer; a fault excuses a late one. */
const measureNeededBy = (jobs: readonly JobResult[], feasible: ReadonlySet<string>): Measures["neededBy"] => {
    const needed = jobs.filter(job => isCounted(job) && job.trace.spec.neededBy !== undefined);
    const late = needed.filter(({ endedAt, state, trace: { spec } }) =>
        state !== "finished" || endedAt > (spec.neededBy ?? Infinity)
    );
    return {
        count: needed.length,
        feasible: needed.filter(({ trace }) => feasible.has(trace.jobId)).length,
        late: late.length,
        lateFeasible: late.filter(({ wasHitByFault, trace }) => !wasHitByFault && feasible.has(trace.jobId)).length,
    };
};

const guaranteeDelays = (jobs: readonly JobResult[]): number[] =>
    jobs
        .filter(job => job.isWithinGuarantee && (isCounted(job) || job.firstRunAt !== undefined))
        .map(({ firstRunAt, endedAt, acceptedAt }) => (firstRunAt ?? endedAt) - acceptedAt);

const count = (jobs: readonly JobResult[], state: JobResult["state"]): number =>
    jobs.filter(job => job.state === state).length;

/** Computes all measures of one replay. */
export const measure = (result: ReplayResult, feasible: ReadonlySet<string>): Measures => {
    const { jobs, samples, headWaits, heldTime, trace } = result;
    const capacity = trace.deployment.vms.reduce((sum, { accelerators }) => sum + accelerators, 0);
    const byClass = workClassSchema.options.map(name => [name, summarize(completionTimes(jobs, name))] as const);
    const met = jobs.filter(({ wasUnmet }) => !wasUnmet);
    return {
        finished: count(jobs, "finished"),
        failed: count(jobs, "failed"),
        refused: count(jobs, "refused"),
        cancelled: count(jobs, "cancelled"),
        unfinished: jobs.filter(job => isCounted(job) && job.state !== "finished").length,
        completion: summarize(completionTimes(jobs)),
        completionByClass: Object.fromEntries(byClass) as Record<WorkClass, Times>,
        boundedSlowdown: measureSlowdown(jobs),
        ...measureFragmentation(samples, capacity),
        guaranteeDelay: summarize(guaranteeDelays(met)),
        reclaimDelay: summarize(guaranteeDelays(met.filter(({ hadToWait }) => hadToWait))),
        unmetGuarantees: jobs.filter(({ isWithinGuarantee, wasUnmet }) => isWithinGuarantee && wasUnmet).length,
        lostToPreemption: heldTime === 0 ? 0 : result.lostToPreemption / heldTime,
        lostToFaults: heldTime === 0 ? 0 : result.lostToFaults / heldTime,
        preemptions: jobs.reduce((sum, { preemptions }) => sum + preemptions, 0),
        headWait: measureHeadWaits(headWaits),
        neededBy: measureNeededBy(jobs, feasible),
        jainIndex: jainIndex(serviceRates(jobs)),
        bytesAcrossPerSecond: result.bytesAcross / Math.max(1, result.endedAt / SECOND_MS),
        passes: result.passes,
    };
};
