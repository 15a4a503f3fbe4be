import type { Demand, Step } from "@persimmonpitch/workload/step.js";
import { stepKeys } from "@persimmonpitch/workload/stepKeys.js";
import { stepName } from "@persimmonpitch/workload/taskName.js";
import { countedDemand } from "./demand.js";
import type { AdvisedExecutors } from "./dispatchView.js";
import { type OpenOccurrence, progressOf } from "./openOccurrences.js";
import { stepId } from "./stepId.js";

/** Tasks of one step that can start now: a whole gang, or all unplaced tasks of a step that is not a gang. */
export interface ReadyUnit {
    readonly openOccurrence: OpenOccurrence;
    readonly stepIndex: number;
    /** Id of the step of this occurrence that is unique among all jobs. */
    readonly stepId: string;
    readonly step: Step;
    readonly demand: Demand;
    readonly keys: readonly string[];
    /** The executors with a valid ticket for the step; undefined if its queue requires no advice. */
    readonly allowed?: ReadonlySet<string> | undefined;
}

/** Whether the unit has the highest priority, which may preempt lower ones and may hold guarantees. */
export const isUrgent = ({ openOccurrence }: ReadyUnit): boolean => openOccurrence.view.queue.priority === 0;

/** Number of tasks that have to start together: all of a gang, or one. */
export const tasksAtOnce = ({ step, keys }: ReadyUnit): number => step.isGang ? keys.length : 1;

/** Run number for the next start of the tasks: one above the highest run number of any of them. */
export const nextRun = ({ openOccurrence }: ReadyUnit, keys: readonly string[]): number =>
    1 + keys.reduce((highest, key) => Math.max(highest, progressOf(openOccurrence.view, key).run), 0);

/** Keys of the tasks of a step that are neither placed nor done; for a gang all of its keys or none. */
export const startableKeys = (openOccurrence: OpenOccurrence, stepIndex: number, step: Step): readonly string[] => {
    const keys = stepKeys(step, openOccurrence.occurrence, stepIndex);
    const isUnplaced = (key: string): boolean => {
        const { placement, isDone } = progressOf(openOccurrence.view, key);
        return placement === undefined && !isDone;
    };
    if (keys.every(isUnplaced)) {
        return keys;
    }
    return step.isGang ? [] : keys.filter(isUnplaced);
};

/** Whether a step is not done and all steps that it depends on are. */
export const isStepReady = ({ doneSteps }: OpenOccurrence, { after }: Step, stepIndex: number): boolean =>
    doneSteps[stepIndex] === false && after.every(earlier => doneSteps[earlier] === true);

export const toReadyUnit = (
    openOccurrence: OpenOccurrence,
    stepIndex: number,
    step: Step,
    keys: readonly string[],
): ReadyUnit => ({
    openOccurrence,
    stepIndex,
    stepId: stepId(openOccurrence.view, openOccurrence.occurrence, stepIndex),
    step,
    demand: countedDemand(step),
    keys,
});

const NO_EXECUTORS: ReadonlySet<string> = new Set();

const allowedExecutors = (
    { view: { job, queue }, occurrence }: OpenOccurrence,
    stepIndex: number,
    advised: AdvisedExecutors | undefined,
): ReadonlySet<string> | undefined =>
    queue.advice === undefined
        ? undefined
        : advised?.get(stepName(job.jobId, occurrence, stepIndex)) ?? NO_EXECUTORS;

/** The units of an occurrence that can start as soon as they fit. A step that lacks required advice has none. */
export const readyUnits = (openOccurrence: OpenOccurrence, advised?: AdvisedExecutors): readonly ReadyUnit[] =>
    openOccurrence.view.job.steps.flatMap((step, stepIndex) => {
        const allowed = allowedExecutors(openOccurrence, stepIndex, advised);
        const keys = isStepReady(openOccurrence, step, stepIndex) && allowed?.size !== 0
            ? startableKeys(openOccurrence, stepIndex, step)
            : [];
        return keys.length === 0 ? [] : [{ ...toReadyUnit(openOccurrence, stepIndex, step, keys), allowed }];
    });

/**
 * Units with equal keys have the same demand and the same executor sets, so where one does not fit, the others do not
 * either.
 */
export const fitKeyOf = ({ openOccurrence, stepIndex, step, demand, keys, allowed }: ReadyUnit): string => {
    const { isGang, isTight, dataRack, requiredLabel, maxPerExecutor } = step;
    const { milliCores, memoryMb, accelerators } = demand;
    const limit = maxPerExecutor === undefined
        ? ""
        : `${maxPerExecutor} ${openOccurrence.view.job.jobId} ${openOccurrence.occurrence}`;
    const gang = isGang ? `${isTight} ${keys.length}` : "";
    const isAnywhere = dataRack === undefined && requiredLabel === undefined;
    const { service } = openOccurrence.view.queue;
    const places = isAnywhere ? service : JSON.stringify([service, dataRack, requiredLabel]);
    const advised = allowed === undefined
        ? ""
        : stepName(openOccurrence.view.job.jobId, openOccurrence.occurrence, stepIndex);
    return [milliCores, memoryMb, accelerators, gang, limit, places, advised].join(";");
};
