import type { Millis } from "@persimmonpitch/clock/clock.js";
import { criticalPathMs } from "@persimmonpitch/dispatch/criticalPath.js";
import { byPriority, DEFAULT_DISPATCH_OPTIONS } from "@persimmonpitch/dispatch/dispatchOptions.js";
import type { Submission } from "@persimmonpitch/workload/stepJob.js";
import { LAST_PRIORITY_CLASS } from "./loadRow.js";

/** The priority under which the load row counts the jobs of a queue. */
export const priorityClassOf = (priority: number): number => Math.min(priority, LAST_PRIORITY_CLASS);

/** Value that a job earns on time for each accelerator-second of its work. */
export const valuePerWork = (priority: number, acceleratorSeconds: number): number =>
    byPriority(DEFAULT_DISPATCH_OPTIONS.valueByPriority, priority) / Math.max(1, acceleratorSeconds);

/** Size and run time of a job as its requester declares them. */
export interface JobWork {
    /** Accelerators that the largest step takes if all of its tasks run at one time. */
    readonly accelerators: number;
    /** Accelerators of the largest task. */
    readonly largestTask: number;
    readonly acceleratorSeconds: number;
    /** Length of the critical path; 0 if no run time is declared. */
    readonly pathMs: Millis;
}

/** Returns the declared size and run time of a job. A step without a declared time counts as `defaultMs` long. */
export const jobWorkOf = ({ steps }: Pick<Submission, "steps">, defaultMs: Millis): JobWork => {
    const durationOf = (index: number): Millis => {
        const declaredMs = steps[index]?.declaredMs ?? 0;
        return declaredMs > 0 ? declaredMs : defaultMs;
    };
    return {
        accelerators: Math.max(...steps.map(({ count, demand }) => count * demand.accelerators)),
        largestTask: Math.max(...steps.map(({ demand }) => demand.accelerators)),
        acceleratorSeconds: steps.reduce(
            (sum, { count, demand }, index) => sum + count * demand.accelerators * durationOf(index) / 1_000,
            0,
        ),
        pathMs: criticalPathMs({ steps }, durationOf),
    };
};
