import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { StepJob } from "@persimmonpitch/workload/stepJob.js";

/** Length of the critical path: the longest chain of dependent steps, by the duration of each step. */
export const criticalPathMs = (
    { steps }: Pick<StepJob, "steps">,
    durationOf: (stepIndex: number) => Millis,
): Millis => {
    const endMsOfStep: Millis[] = [];
    steps.forEach(({ after }, index) => {
        const startMs = after.reduce((latest, earlier) => Math.max(latest, endMsOfStep[earlier] ?? 0), 0);
        endMsOfStep.push(startMs + durationOf(index));
    });
    return endMsOfStep.reduce((latest, end) => Math.max(latest, end), 0);
};
