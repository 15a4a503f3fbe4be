import type { JobView } from "./dispatchView.js";

/** Values for steps, by the job and the index of the step. */
export type ByStep<Value> = Map<JobView, Map<number, Value>>;

/** Returns the value of a step and creates it if there is none. */
export const valueOfStep = <Value>(
    values: ByStep<Value>,
    view: JobView,
    stepIndex: number,
    create: () => Value,
): Value => {
    const ofJob = values.get(view) ?? new Map<number, Value>();
    if (ofJob.size === 0) {
        values.set(view, ofJob);
    }
    const known = ofJob.get(stepIndex);
    if (known !== undefined) {
        return known;
    }
    const value = create();
    ofJob.set(stepIndex, value);
    return value;
};
