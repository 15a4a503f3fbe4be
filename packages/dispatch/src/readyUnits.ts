import type { Demand, Step } from "@persimmonpitch/workload/step.js";
import { countedDemand } from "./demand.js";
import { type OpenOccurrence, progressOf, stepKeys } from "./openOccurrences.js";
import { stepId } from "./stepId.js";

/** Tasks of one step that can start now: a whole gang, or all free tasks of a step that is not a gang. */
export interface ReadyUnit {
    readonly owner: OpenOccurrence;
    readonly stepIndex: number;
    /** Identity of the step of the occurrence among all jobs. */
    readonly stepId: string;
    readonly step: Step;
    readonly demand: Demand;
    readonly keys: readonly string[];
}

/** Run number of a start of the tasks: one above the highest that any of them had. */
export const nextRun = ({ owner }: ReadyUnit, keys: readonly string[]): number =>
    1 + keys.reduce((highest, key) => Math.max(highest, progressOf(owner.view, key).run), 0);

const freeKeys = (owner: OpenOccurrence, stepIndex: number, step: Step): readonly string[] => {
    const keys = stepKeys(owner.occurrence, stepIndex, step);
    const isFree = (key: string): boolean => {
        const { placement, isDone } = progressOf(owner.view, key);
        return placement === undefined && !isDone;
    };
    if (keys.every(isFree)) {
        return keys;
    }
    return step.isGang ? [] : keys.filter(isFree);
};

const isStepReady = ({ doneSteps }: OpenOccurrence, { after }: Step, stepIndex: number): boolean =>
    doneSteps[stepIndex] === false && after.every(earlier => doneSteps[earlier] === true);

/** The units of an occurrence that can start as soon as there is room. */
export const readyUnits = (owner: OpenOccurrence): readonly ReadyUnit[] =>
    owner.view.job.steps.flatMap((step, stepIndex) => {
        const keys = isStepReady(owner, step, stepIndex) ? freeKeys(owner, stepIndex, step) : [];
        const id = stepId(owner.view, owner.occurrence, stepIndex);
        return keys.length === 0 ? [] : [{ owner, stepIndex, stepId: id, step, demand: countedDemand(step), keys }];
    });

/** Units of one kind have the same choice of executors and the same demand. */
export const unitKind = ({ owner, step, demand, keys }: ReadyUnit): string => {
    const { isGang, isTight, dataRack, requiredLabel, maxPerExecutor } = step;
    const { milliCores, memoryMb, accelerators } = demand;
    const limit = maxPerExecutor === undefined ? "" : `${maxPerExecutor} ${owner.view.job.jobId} ${owner.occurrence}`;
    const gang = isGang ? `${isTight} ${keys.length}` : "";
    const places = JSON.stringify([owner.view.queue.service, dataRack, requiredLabel]);
    return [milliCores, memoryMb, accelerators, gang, limit, places].join(";");
};
