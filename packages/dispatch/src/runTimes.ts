import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { Step } from "@persimmonpitch/workload/step.js";
import type { JobView, RunSample, RunView } from "./dispatchView.js";
import { expectedMs, queueModels } from "./queueModel.js";
import type { RunGroup } from "./runGroups.js";

/** Share of progress from which a run's own rate counts as much as what was declared. */
const TRUSTED_PERCENT = 5;

/** Weight of measured tasks of the same step against the declared time. */
const SIBLING_WEIGHT = 0.8;

/** A run that is said to be at its end may still need this long. */
const MIN_REMAINING_MS = 50;

/** Estimated run times on healthy executors. */
export interface RunTimes {
    /** Time of one whole task of the step. */
    readonly stepMs: (view: JobView, stepIndex: number) => Millis;
    /** The same without what runs of the step themselves show, to judge these runs by. */
    readonly declaredMs: (view: JobView, stepIndex: number) => Millis;
    /** Time until the group ends by itself; infinite for long-running steps. */
    readonly remainingMs: (group: RunGroup) => Millis;
}

interface Mean {
    sum: number;
    count: number;
}

const addTime = (means: Map<string, Mean>, id: string, time: Millis): void => {
    const mean = means.get(id) ?? { sum: 0, count: 0 };
    mean.sum += time;
    mean.count += 1;
    means.set(id, mean);
};

/** What one run shows of its rate. */
export interface MeasuredRun {
    /** Time of the whole task at this rate. */
    readonly totalMs: Millis;
    /** Share of the work, in percent, that the rate is measured over. */
    readonly percent: number;
    readonly durationMs: Millis;
}

/** Rate of a run since its work began; undefined before its first progress. */
export const measuredRun = (
    { percent, firstPercent = 0, firstListedAt, progressAt }: RunView,
    workingSince: Millis | undefined,
): MeasuredRun | undefined => {
    if (percent === undefined || firstListedAt === undefined || progressAt === undefined) {
        return undefined;
    }
    const durationMs = progressAt - Math.max(firstListedAt, workingSince ?? firstListedAt);
    const done = percent - firstPercent;
    return done > 0 && durationMs > 0 ? { totalMs: 100 * durationMs / done, percent: done, durationMs } : undefined;
};

const stepId = ({ job }: JobView, stepIndex: number): string => `${job.jobId} ${stepIndex}`;

const remainingOf = (run: RunView, workingSince: Millis | undefined, stepMs: Millis, now: Millis): Millis => {
    const percent = run.percent ?? 0;
    const expected = stepMs * (1 - percent / 100);
    const measured = measuredRun(run, workingSince);
    if (measured === undefined || run.progressAt === undefined) {
        return Math.max(MIN_REMAINING_MS, expected);
    }
    const byRate = measured.totalMs * (1 - percent / 100) - (now - run.progressAt);
    const weight = measured.percent / (measured.percent + TRUSTED_PERCENT);
    return Math.max(MIN_REMAINING_MS, weight * byRate + (1 - weight) * expected);
};

const isFinite = (step: Step | undefined): step is Step => step !== undefined && !step.isLongRunning;

/** Estimates run times from what the queue's tasks took, declared times, measured siblings and progress. */
export const estimateRunTimes = (
    jobs: readonly JobView[],
    groups: readonly RunGroup[],
    samples: readonly RunSample[],
    now: Millis,
): RunTimes => {
    const declared = new Map<string, Millis[]>();
    const siblings = new Map<string, Mean>();
    for (const { job, queue } of jobs) {
        const times = job.steps.filter(isFinite).map(step => step.declaredMs).filter(time => time > 0);
        declared.set(queue.name, [...declared.get(queue.name) ?? [], ...times]);
    }
    for (const { view, step, stepIndex, members, workingSince } of groups) {
        for (const { run } of members) {
            const measured = measuredRun(run, workingSince);
            if (isFinite(step) && measured !== undefined && measured.percent >= TRUSTED_PERCENT) {
                addTime(siblings, stepId(view, stepIndex), measured.totalMs);
            }
        }
    }
    const models = queueModels(declared, samples);
    const declaredMs = (view: JobView, stepIndex: number): Millis =>
        expectedMs(models.get(view.queue.name), view.job.steps[stepIndex]?.declaredMs ?? 0);
    const stepMs = (view: JobView, stepIndex: number): Millis => {
        const prior = declaredMs(view, stepIndex);
        const measured = siblings.get(stepId(view, stepIndex));
        return measured === undefined
            ? prior
            : SIBLING_WEIGHT * measured.sum / measured.count + (1 - SIBLING_WEIGHT) * prior;
    };
    const remainingMs = ({ view, step, stepIndex, members, workingSince }: RunGroup): Millis => {
        if (step.isLongRunning) {
            return Infinity;
        }
        const whole = stepMs(view, stepIndex);
        return members.reduce(
            (longest, { run }) => Math.max(longest, remainingOf(run, workingSince, whole, now)),
            MIN_REMAINING_MS,
        );
    };
    return { stepMs, declaredMs, remainingMs };
};
