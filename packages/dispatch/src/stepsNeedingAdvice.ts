import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { AdvicePolicy } from "@persimmonpitch/workload/clusterConfig.js";
import { stepKeys } from "@persimmonpitch/workload/stepKeys.js";
import { stepName } from "@persimmonpitch/workload/taskName.js";
import { AttainableRoom } from "./attainableRoom.js";
import { slotsIn } from "./demand.js";
import type { DispatchView } from "./dispatchView.js";
import {
    type ExecutorResources,
    executorResources,
    holdTogether,
    isEligible,
    slotsFor,
    slotsWhenEmpty,
} from "./executorResources.js";
import { type OpenOccurrence, openOccurrences, progressOf } from "./openOccurrences.js";
import { isStepReady, type ReadyUnit, startableKeys, tasksAtOnce, toReadyUnit } from "./readyUnits.js";
import { findRunSteps } from "./runGroups.js";

/** An executor that may run a step if the advice service allows it. */
export interface AdviceCandidate {
    readonly executorId: string;
    /** Number of tasks of the step that fit now. */
    readonly slots: number;
    /** Number of tasks of the step that fit when nothing else runs. */
    readonly slotsWhenEmpty: number;
}

/** The calls that were made for a step. */
export interface AdviceHistory {
    readonly calls: number;
    /** When the last call was made, on the clock of the view; undefined before the first one. */
    readonly lastAskedAt: Millis | undefined;
}

/** The history of a step before its first call. */
export const NEVER_ASKED: AdviceHistory = { calls: 0, lastAskedAt: undefined };

/** A step whose queue requires advice before its tasks may start. */
export interface StepNeedingAdvice {
    readonly jobId: string;
    readonly name: string;
    readonly policy: AdvicePolicy;
    /** Number of tasks that are neither placed nor done. */
    readonly waiting: number;
    /** Number of tasks that have to start together, with tickets that are valid at one time. */
    readonly atOnce: number;
    /** When the last call was made for the step; before the first one, since when its deadlines run. */
    readonly lastAskedAt: Millis;
    /** Whether the step is ready and free resources hold what starts at once: all of a gang, or one task. */
    readonly hasRoom: () => boolean;
    /** Finds the executors that can hold a task of the step, those with the most slots first. */
    readonly candidates: () => readonly AdviceCandidate[];
}

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

/** The fields by which steps are ranked; the first that differs decides. */
const rankOf = (
    { unit: { openOccurrence }, isReady }: CandidateStep,
    { calls }: AdviceHistory,
): readonly number[] => [isReady ? 0 : 1, openOccurrence.view.queue.priority, calls, openOccurrence.startAt];

const hasRoomFor = (executors: readonly ExecutorResources[], unit: ReadyUnit): boolean =>
    holdTogether(
        executors,
        unit,
        executor => isEligible(executor, unit) ? slotsFor(executor, unit, executor.free) : 0,
    );

/**
 * The steps that need advice, by rank: ready steps before the steps that follow running ones, then by priority, then by
 * the number of calls already made for the step. Steps that cannot start whatever the service allows are left out.
 */
export const stepsNeedingAdvice = (
    view: DispatchView,
    historyOf: (step: string) => AdviceHistory,
): readonly StepNeedingAdvice[] => {
    if (view.jobs.every(({ queue }) => queue.advice === undefined)) {
        return [];
    }
    const occurrences = openOccurrences(view.jobs, view.now, view.wallTime);
    const runSteps = findRunSteps(view.executors, new Map(view.jobs.map(job => [job.job.jobId, job])));
    const executors = executorResources(view, runSteps, () => "healthy");
    const room = new AttainableRoom(view, occurrences, executors, runSteps);
    return occurrences
        .filter(({ view: { queue } }) => queue.advice !== undefined)
        .flatMap(candidateSteps)
        .filter(({ unit }) => room.holds(unit))
        .map(step => ({ step, history: historyOf(step.name) }))
        .map(({ step, history }) => ({ step, history, rank: rankOf(step, history) }))
        .sort((left, right) => compareLexicographically(left.rank, right.rank))
        .flatMap(({ step: { unit, name, isReady }, history: { lastAskedAt } }) => {
            const { openOccurrence: { view: { job, queue }, startAt }, keys } = unit;
            return queue.advice === undefined ? [] : [{
                jobId: job.jobId,
                name,
                policy: queue.advice,
                waiting: keys.length,
                atOnce: tasksAtOnce(unit),
                lastAskedAt: lastAskedAt ?? startAt,
                hasRoom: () => isReady && hasRoomFor(executors, unit),
                candidates: () => candidatesIn(executors, unit),
            }];
        });
};

const candidatesIn = (executors: readonly ExecutorResources[], unit: ReadyUnit): readonly AdviceCandidate[] =>
    executors
        .filter(executor => isEligible(executor, unit) && slotsWhenEmpty(executor, unit) > 0)
        .map(executor => ({
            executorId: executor.view.executorId,
            slots: slotsFor(executor, unit, executor.free),
            slotsWithoutLimit: slotsIn(executor.free, unit.demand),
            slotsWhenEmpty: slotsWhenEmpty(executor, unit),
        }))
        .sort((left, right) => right.slots - left.slots || right.slotsWithoutLimit - left.slotsWithoutLimit)
        .map(({ executorId, slots, slotsWhenEmpty }) => ({ executorId, slots, slotsWhenEmpty }));

/** Compares two lists of the same length by their first difference. */
const compareLexicographically = (left: readonly number[], right: readonly number[]): number => {
    const index = left.findIndex((value, position) => value !== right[position]);
    return index < 0 ? 0 : (left[index] ?? 0) - (right[index] ?? 0);
};
