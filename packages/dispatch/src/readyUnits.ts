import type { Step } from "@persimmonpitch/workload/step.js";
import type { Demand } from "@persimmonpitch/workload/step.js";
import { countedDemand } from "./demand.js";
import { isStepDone, type OpenOccurrence, progressOf, stepKeys } from "./openOccurrences.js";

/** Tasks of one step that can start now: a whole gang, or all free tasks of a step that is not a gang. */
export interface ReadyUnit {
    readonly owner: OpenOccurrence;
    readonly stepIndex: number;
    readonly step: Step;
    readonly demand: Demand;
    readonly keys: readonly string[];
}

/** Run number of a start of the tasks: one above the highest that any of them had. */
export const nextRun = ({ owner }: ReadyUnit, keys: readonly string[]): number =>
    1 + keys.reduce((highest, key) => Math.max(highest, progressOf(owner.view, key).run), 0);

const freeKeys = (owner: OpenOccurrence, stepIndex: number, step: Step): readonly string[] => {
    const keys = stepKeys(owner.occurrence, stepIndex, step);
    const free = keys.filter(key => {
        const { placement, isDone } = progressOf(owner.view, key);
        return placement === undefined && !isDone;
    });
    return step.isGang && free.length < keys.length ? [] : free;
};

const isStepReady = ({ view, occurrence }: OpenOccurrence, step: Step): boolean =>
    step.after.every(earlier => isStepDone(view, occurrence, earlier));

/** The units of an occurrence that can start as soon as there is room. */
export const readyUnits = (owner: OpenOccurrence): readonly ReadyUnit[] =>
    owner.view.job.steps.flatMap((step, stepIndex) => {
        const keys = isStepReady(owner, step) ? freeKeys(owner, stepIndex, step) : [];
        return keys.length === 0 ? [] : [{ owner, stepIndex, step, demand: countedDemand(step), keys }];
    });
