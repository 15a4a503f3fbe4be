import type { JobView } from "./dispatchView.js";

/** Values of the steps of jobs, by the job and the index of the step. */
export type ByStep<Value> = Map<JobView, Map<number, Value>>;

/** The value of a step, created when it is asked for first. */
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
