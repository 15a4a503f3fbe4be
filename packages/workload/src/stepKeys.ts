import type { Step } from "./step.js";
import { taskKey } from "./taskName.js";

type KeysByOccurrence = Map<number, readonly string[]>;

/** Keys by step, step index and occurrence. Every scheduling pass needs them, and a step never changes. */
const keyCache = new WeakMap<Step, Map<number, KeysByOccurrence>>();

/** Returns the keys of the tasks of a step in one occurrence; `index` is the index of the step in its job. */
export const stepKeys = (step: Step, occurrence: number, index: number): readonly string[] => {
    const keysByIndex = keyCache.get(step) ?? new Map<number, KeysByOccurrence>();
    keyCache.set(step, keysByIndex);
    const keysByOccurrence: KeysByOccurrence = keysByIndex.get(index) ?? new Map<number, readonly string[]>();
    keysByIndex.set(index, keysByOccurrence);
    const keys = keysByOccurrence.get(occurrence)
        ?? Array.from({ length: step.count }, (_, task) => taskKey({ occurrence, step: index, index: task }));
    keysByOccurrence.set(occurrence, keys);
    return keys;
};
