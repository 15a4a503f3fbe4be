import type { Millis } from "@persimmonpitch/clock/clock.js";
import { stepKeys } from "@persimmonpitch/workload/stepKeys.js";
import { criticalPathMs } from "./criticalPath.js";
import { coreEquivalent } from "./demand.js";
import { byPriority, type DispatchOptions } from "./dispatchOptions.js";
import type { JobView } from "./dispatchView.js";
import { type OpenOccurrence, progressOf } from "./openOccurrences.js";
import type { RunGroup } from "./runGroups.js";
import type { RunTimes } from "./runTimes.js";
import type { StepWaves } from "./stepWaves.js";

/**
 * Whether an occurrence can still complete on time and earn its full value, complete late and earn part of it, or earn
 * nothing.
 */
export type DeadlineStatus = "onTime" | "late" | "hopeless";

/** Value, slack and remaining work of an occurrence, by the estimated run times. */
export interface OccurrenceForecast {
    readonly deadlineStatus: DeadlineStatus;
    /** Value that it earns if it completes on time. */
    readonly value: number;
    /** Time until its deadline; negative once it has passed. */
    readonly dueInMs: Millis;
    /** How long it can wait and still complete on time; negative if it will be late. */
    readonly slackMs: Millis;
    /** How long it can wait and still earn its value for late completion. */
    readonly lateSlackMs: Millis;
    /** Work of the steps that are not done, in core-seconds. */
    readonly remainingWork: number;
}

/** An occurrence that takes more than this many times its allowed time earns nothing. */
export const LATE_FACTOR = 3;

/** Value of a job without work, as a share of the value of a job of mean work in its queue. */
const BASE_VALUE_SHARE = 0.3;

/** Id of an occurrence that is unique among all jobs. */
export const occurrenceId = ({ view, occurrence }: Pick<OpenOccurrence, "view" | "occurrence">): string =>
    `${view.job.jobId} ${occurrence}`;

/** Work of the counted steps in core-seconds, by the estimated run times. Long-running steps count as zero. */
const workOf = (view: JobView, runTimes: RunTimes, isCounted: (stepIndex: number) => boolean): number =>
    view.job.steps.reduce((sum, { count, demand, isLongRunning }, index) =>
        isLongRunning || !isCounted(index)
            ? sum
            : sum + count * coreEquivalent(demand) * runTimes.stepMs(view, index) / 1_000, 0);

/** Mean work of the jobs of each queue. */
const meanWorkOfQueues = (jobs: readonly JobView[], runTimes: RunTimes): ReadonlyMap<string, number> => {
    const sums = new Map<string, { readonly work: number; readonly count: number; }>();
    for (const view of jobs) {
        const { work, count } = sums.get(view.queue.name) ?? { work: 0, count: 0 };
        sums.set(view.queue.name, { work: work + workOf(view, runTimes, () => true), count: count + 1 });
    }
    return new Map([...sums].map(([queue, { work, count }]) => [queue, work / count]));
};

const deadlineStatusOf = (slackMs: Millis, lateSlackMs: Millis, toleranceMs: Millis): DeadlineStatus => {
    if (slackMs >= -toleranceMs) {
        return "onTime";
    }
    return lateSlackMs >= -toleranceMs ? "late" : "hopeless";
};

/** Estimated time until the last running group of each step ends, by the ids of the occurrence and the step. */
const remainingByRunningStep = (groups: readonly RunGroup[], runTimes: RunTimes): ReadonlyMap<string, Millis> => {
    const remaining = new Map<string, Millis>();
    for (const group of groups) {
        const id = `${occurrenceId(group)} ${group.stepIndex}`;
        remaining.set(id, Math.max(remaining.get(id) ?? 0, runTimes.remainingMs(group)));
    }
    return remaining;
};

/** Number of tasks of a step that are neither placed nor done. */
export const countUnplacedTasks = ({ view, occurrence }: OpenOccurrence, stepIndex: number): number => {
    const step = view.job.steps[stepIndex];
    let unplaced = 0;
    for (const key of step === undefined ? [] : stepKeys(step, occurrence, stepIndex)) {
        const { placement, isDone } = progressOf(view, key);
        unplaced += Number(placement === undefined && !isDone);
    }
    return unplaced;
};

/** Forecasts for each occurrence, by its id, whether it meets its deadline and what value it earns. */
export const forecastOccurrences = (
    occurrences: readonly OpenOccurrence[],
    groups: readonly RunGroup[],
    runTimes: RunTimes,
    stepWaves: StepWaves,
    now: Millis,
    { valueByPriority, onTimeTolerance }: DispatchOptions,
): ReadonlyMap<string, OccurrenceForecast> => {
    const meanWorkByQueue = meanWorkOfQueues(occurrences.map(({ view }) => view), runTimes);
    const remainingByStep = remainingByRunningStep(groups, runTimes);
    const forecastOf = (openOccurrence: OpenOccurrence): OccurrenceForecast => {
        const { view, startAt, doneSteps } = openOccurrence;
        const id = occurrenceId(openOccurrence);
        const { queue, job } = view;
        const isFinite = (index: number): boolean => job.steps[index]?.isLongRunning !== true;
        const isUnfinished = (index: number): boolean => isFinite(index) && doneSteps[index] === false;
        const chainMs = criticalPathMs(
            job,
            index => isFinite(index) ? stepWaves.allowed(view, index) * runTimes.stepMs(view, index) : 0,
        );
        const stepRemainingMs = (index: number): Millis => {
            const runningMs = remainingByStep.get(`${id} ${index}`) ?? 0;
            const unplaced = countUnplacedTasks(openOccurrence, index);
            return unplaced === 0
                ? runningMs
                : Math.max(runningMs, stepWaves.needed(view, index, unplaced) * runTimes.stepMs(view, index));
        };
        const remainingChainMs = criticalPathMs(job, index => isUnfinished(index) ? stepRemainingMs(index) : 0);
        const allowedMs = queue.slackFactor * chainMs + queue.targetLatencyMs;
        const elapsedMs = now - startAt;
        const slackMs = allowedMs - elapsedMs - remainingChainMs;
        const lateSlackMs = LATE_FACTOR * allowedMs - elapsedMs - remainingChainMs;
        const share = workOf(view, runTimes, () => true) / Math.max(1, meanWorkByQueue.get(queue.name) ?? 1);
        return {
            deadlineStatus: deadlineStatusOf(slackMs, lateSlackMs, onTimeTolerance * chainMs),
            value: byPriority(valueByPriority, queue.priority) * (BASE_VALUE_SHARE + (1 - BASE_VALUE_SHARE) * share),
            dueInMs: allowedMs - elapsedMs,
            slackMs,
            lateSlackMs,
            remainingWork: workOf(view, runTimes, isUnfinished),
        };
    };
    return new Map(occurrences.map(openOccurrence => [occurrenceId(openOccurrence), forecastOf(openOccurrence)]));
};
