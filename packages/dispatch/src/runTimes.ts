import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { Step } from "@persimmonpitch/workload/step.js";
import { type ByStep, valueOfStep } from "./byStep.js";
import type { JobView, RunSample } from "./dispatchView.js";
import { atNormalSpeed } from "./executorSpeeds.js";
import type { GroupMember, RunGroup } from "./runGroups.js";
import { expectedRunMs, runTimeModels } from "./runTimeModel.js";

/** Measured progress at which the measured rate of a run has the same weight as the estimated run time. */
const TRUSTED_PERCENT = 5;

/** Weight of the mean measured run time of a step; the estimate from declared times has the rest. */
const SIBLING_WEIGHT = 0.8;

/** Lower bound of the remaining time, as a run that reports full progress has still to end. */
const MIN_REMAINING_MS = 50;

/** Estimated run times on healthy executors of normal speed. */
export interface RunTimes {
    /** Run time of one task of the step from its beginning. */
    readonly stepMs: (view: JobView, stepIndex: number) => Millis;
    /** The same without the measured rates of the step's runs, so that these can be compared with it. */
    readonly declaredMs: (view: JobView, stepIndex: number) => Millis;
    /** Time until the group completes at the speed of its slowest executor; infinite for long-running steps. */
    readonly remainingMs: (group: RunGroup) => Millis;
}

interface Mean {
    sum: number;
    count: number;
}

const remainingOf = ({ run, measured }: GroupMember, stepMs: Millis, now: Millis): Millis => {
    const percent = run.percent ?? 0;
    const expected = stepMs * (1 - percent / 100);
    if (measured === undefined || run.progressAt === undefined) {
        return Math.max(MIN_REMAINING_MS, expected);
    }
    const byRate = measured.totalMs * (1 - percent / 100) - (now - run.progressAt);
    const weight = measured.percent / (measured.percent + TRUSTED_PERCENT);
    return Math.max(MIN_REMAINING_MS, weight * byRate + (1 - weight) * expected);
};

const isFinite = (step: Step | undefined): step is Step => step !== undefined && !step.isLongRunning;

/**
 * Estimates run times from ended tasks of the queue, declared times, the measured runs of the step and progress.
 * Measured times are divided by the slowness of their executors, so that a few slow executors do not make all work look
 * longer than it is.
 */
export const estimateRunTimes = (
    jobs: readonly JobView[],
    groups: readonly RunGroup[],
    samples: readonly RunSample[],
    now: Millis,
    slowness?: ReadonlyMap<string, number>,
): RunTimes => {
    const declared = new Map<string, Millis[]>();
    const siblings: ByStep<Mean> = new Map();
    for (const { job, queue } of jobs) {
        const times = declared.get(queue.name) ?? [];
        times.push(...job.steps.filter(isFinite).map(step => step.declaredMs).filter(time => time > 0));
        declared.set(queue.name, times);
    }
    for (const { view, step, stepIndex, members, slowness: factor } of groups) {
        for (const { measured } of members) {
            if (isFinite(step) && measured !== undefined && measured.percent >= TRUSTED_PERCENT) {
                const mean = valueOfStep(siblings, view, stepIndex, () => ({ sum: 0, count: 0 }));
                mean.sum += measured.totalMs / factor;
                mean.count += 1;
            }
        }
    }
    const models = runTimeModels(declared, atNormalSpeed(samples, slowness));
    const declaredTimes: ByStep<Millis> = new Map();
    const declaredMs = (view: JobView, stepIndex: number): Millis =>
        valueOfStep(
            declaredTimes,
            view,
            stepIndex,
            () => expectedRunMs(models.get(view.queue.name), view.job.steps[stepIndex]?.declaredMs ?? 0),
        );
    const stepMs = (view: JobView, stepIndex: number): Millis => {
        const prior = declaredMs(view, stepIndex);
        const measured = siblings.get(view)?.get(stepIndex);
        return measured === undefined
            ? prior
            : SIBLING_WEIGHT * measured.sum / measured.count + (1 - SIBLING_WEIGHT) * prior;
    };
    const knownRemaining = new Map<RunGroup, Millis>();
    const estimateRemaining = ({ view, step, stepIndex, members, slowness: factor }: RunGroup): Millis => {
        if (step.isLongRunning) {
            return Infinity;
        }
        const taskMs = factor * stepMs(view, stepIndex);
        return members.reduce(
            (longest, member) => Math.max(longest, remainingOf(member, taskMs, now)),
            MIN_REMAINING_MS,
        );
    };
    const remainingMs = (group: RunGroup): Millis => {
        const remaining = knownRemaining.get(group) ?? estimateRemaining(group);
        knownRemaining.set(group, remaining);
        return remaining;
    };
    return { stepMs, declaredMs, remainingMs };
};
