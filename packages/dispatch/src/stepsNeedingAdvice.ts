import { stepKeys } from "@persimmonpitch/workload/stepKeys.js";
import { stepName } from "@persimmonpitch/workload/taskName.js";
import { slotsIn } from "./demand.js";
import type { DispatchView } from "./dispatchView.js";
import {
    type ExecutorResources,
    executorResources,
    isEligible,
    slotsFor,
    slotsWhenEmpty,
} from "./executorResources.js";
import { type OpenOccurrence, openOccurrences, progressOf } from "./openOccurrences.js";
import { isStepReady, type ReadyUnit, startableKeys, toReadyUnit } from "./readyUnits.js";
import { findRunSteps } from "./runGroups.js";

/** An executor that may run a step if the advice service allows it. */
export interface AdviceCandidate {
    readonly executorId: string;
    /** Number of tasks of the step that fit now. */
    readonly slots: number;
}

/** A step whose queue requires advice before its tasks may start. */
export interface StepNeedingAdvice {
    readonly jobId: string;
    readonly name: string;
    readonly queue: string;
    /** Number of tasks that are neither placed nor done. */
    readonly waiting: number;
    /** Finds the executors that can hold a task of the step, those with the most slots first. */
    readonly candidates: () => readonly AdviceCandidate[];
}

/**
 * The advice service accepts a few calls per second and tickets expire after seconds, so more steps could not keep
 * valid tickets.
 */
const MAX_STEPS = 64;

/** A step to ask about; `isReady` is false if the steps before it are still running. */
interface CandidateStep {
    readonly unit: ReadyUnit;
    readonly name: string;
    readonly isReady: boolean;
}

/** Whether all tasks of a step are placed or done. */
const isPlacedOrDone = ({ view, occurrence, doneSteps }: OpenOccurrence, stepIndex: number): boolean => {
    const step = view.job.steps[stepIndex];
    return doneSteps[stepIndex] === true || step !== undefined && !step.isLongRunning
            && stepKeys(step, occurrence, stepIndex).every(key => {
                const { placement, isDone } = progressOf(view, key);
                return placement !== undefined || isDone;
            });
};

const candidateSteps = (openOccurrence: OpenOccurrence): readonly CandidateStep[] =>
    openOccurrence.view.job.steps.flatMap((step, stepIndex) => {
        const isReady = isStepReady(openOccurrence, step, stepIndex);
        const isNext = openOccurrence.doneSteps[stepIndex] === false
            && step.after.every(earlier => isPlacedOrDone(openOccurrence, earlier));
        const keys = isReady || isNext ? startableKeys(openOccurrence, stepIndex, step) : [];
        const name = stepName(openOccurrence.view.job.jobId, openOccurrence.occurrence, stepIndex);
        return keys.length === 0
            ? []
            : [{ unit: toReadyUnit(openOccurrence, stepIndex, step, keys), name, isReady }];
    });

/**
 * The steps that need advice, the most urgent first: ready steps before the steps that follow running ones, then by
 * priority, then by the number of calls already made for the step. Without the last rule, steps that wait for resources
 * would be asked about again and again, and other steps that fit would never be asked about.
 */
export const stepsNeedingAdvice = (
    view: DispatchView,
    callsOf: (step: string) => number,
): readonly StepNeedingAdvice[] => {
    const advised = view.jobs.filter(({ queue }) => queue.advice !== undefined);
    if (advised.length === 0) {
        return [];
    }
    const urgency = (
        { unit: { openOccurrence }, name, isReady }: CandidateStep,
    ): readonly number[] => [
        isReady ? 0 : 1,
        openOccurrence.view.queue.priority,
        callsOf(name),
        openOccurrence.startAt,
    ];
    const byUrgency = openOccurrences(advised, view.now, view.wallTime)
        .flatMap(candidateSteps)
        .map(step => ({ step, urgency: urgency(step) }))
        .sort((left, right) => compareLexicographically(left.urgency, right.urgency))
        .slice(0, MAX_STEPS);
    const runSteps = findRunSteps(view.executors, new Map(view.jobs.map(job => [job.job.jobId, job])));
    const executors = executorResources(view, runSteps, () => "healthy");
    return byUrgency.map(({ step: { unit, name } }) => ({
        jobId: unit.openOccurrence.view.job.jobId,
        name,
        queue: unit.openOccurrence.view.queue.name,
        waiting: unit.keys.length,
        candidates: () => candidatesIn(executors, unit),
    }));
};

const candidatesIn = (executors: readonly ExecutorResources[], unit: ReadyUnit): readonly AdviceCandidate[] =>
    executors
        .filter(executor => isEligible(executor, unit) && slotsWhenEmpty(executor, unit) > 0)
        .map(executor => ({
            executorId: executor.view.executorId,
            slots: slotsFor(executor, unit, executor.free),
            slotsWithoutLimit: slotsIn(executor.free, unit.demand),
        }))
        .sort((left, right) => right.slots - left.slots || right.slotsWithoutLimit - left.slotsWithoutLimit)
        .map(({ executorId, slots }) => ({ executorId, slots }));

/** Compares two lists of the same length by their first difference. */
const compareLexicographically = (left: readonly number[], right: readonly number[]): number => {
    const index = left.findIndex((value, position) => value !== right[position]);
    return index < 0 ? 0 : (left[index] ?? 0) - (right[index] ?? 0);
};
