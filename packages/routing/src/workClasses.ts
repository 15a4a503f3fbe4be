import type { WorkClass } from "@persimmonpitch/schema/job.js";
import { workClassSchema } from "@persimmonpitch/schema/job.js";

/** Work classes in order of priority, the highest first. */
export const WORK_CLASSES: readonly WorkClass[] = workClassSchema.options;

/** A value for each work class. */
export type PerWorkClass<T> = { [K in WorkClass]: T; };

/** Calls `valueOf` once for each work class, so that mutable values are not shared between classes. */
export const createPerWorkClass = <T>(valueOf: (workClass: WorkClass) => T): PerWorkClass<T> => ({
    urgent: valueOf("urgent"),
    interactive: valueOf("interactive"),
    standard: valueOf("standard"),
    batch: valueOf("batch"),
    bestEffort: valueOf("bestEffort"),
});

/** Classes with a higher priority than `workClass`. */
export const higherPriorityClasses = (workClass: WorkClass): readonly WorkClass[] =>
    WORK_CLASSES.slice(0, WORK_CLASSES.indexOf(workClass));

/** Classes with a lower priority than `workClass`. */
export const lowerPriorityClasses = (workClass: WorkClass): readonly WorkClass[] =>
    WORK_CLASSES.slice(WORK_CLASSES.indexOf(workClass) + 1);
