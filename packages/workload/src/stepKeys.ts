import type { Step } from "./step.js";
import { taskKey } from "./taskName.js";

type KeysByOccurrence = Map<number, readonly string[]>;

/** Keys that were asked for before: they are asked for in every pass, and a step never changes. */
const knownKeys = new WeakMap<Step, Map<number, KeysByOccurrence>>();

/** Keys of the tasks of a step in one occurrence; `index` is the place of the step in its job. */
export const stepKeys = (step: Step, occurrence: number, index: number): readonly string[] => {
    const ofStep = knownKeys.get(step) ?? new Map<number, KeysByOccurrence>();
    knownKeys.set(step, ofStep);
    const ofIndex: KeysByOccurrence = ofStep.get(index) ?? new Map<number, readonly string[]>();
    ofStep.set(index, ofIndex);
    const keys = ofIndex.get(occurrence)
        ?? Array.from({ length: step.count }, (_, task) => taskKey({ occurrence, step: index, index: task }));
    ofIndex.set(occurrence, keys);
    return keys;
};
