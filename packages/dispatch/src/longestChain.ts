import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { StepJob } from "@persimmonpitch/workload/stepJob.js";

/** Length of the longest chain of steps, given the time of each. */
export const longestChain = ({ steps }: StepJob, timeOf: (stepIndex: number) => Millis): Millis => {
    const ends: Millis[] = [];
    steps.forEach(({ after }, index) => {
        const begin = after.reduce((latest, earlier) => Math.max(latest, ends[earlier] ?? 0), 0);
        ends.push(begin + timeOf(index));
    });
    return ends.reduce((latest, end) => Math.max(latest, end), 0);
};
