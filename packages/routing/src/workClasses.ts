import type { WorkClass } from "@persimmonpitch/schema/job.js";
import { workClassSchema } from "@persimmonpitch/schema/job.js";

/** Classes of work, from the most to the least urgent. */
export const WORK_CLASSES: readonly WorkClass[] = workClassSchema.options;

/** One value for each class of work. */
export type PerClass<T> = { [K in WorkClass]: T; };

/** A table with a value of its own for each class. */
export const perClass = <T>(valueOf: (workClass: WorkClass) => T): PerClass<T> => ({
    urgent: valueOf("urgent"),
    interactive: valueOf("interactive"),
    standard: valueOf("standard"),
    batch: valueOf("batch"),
    bestEffort: valueOf("bestEffort"),
});

/** Classes that are dispatched before `workClass`. */
export const classesAbove = (workClass: WorkClass): readonly WorkClass[] =>
    WORK_CLASSES.slice(0, WORK_CLASSES.indexOf(workClass));

/** Classes that are dispatched after `workClass`. */
export const classesBelow = (workClass: WorkClass): readonly WorkClass[] =>
    WORK_CLASSES.slice(WORK_CLASSES.indexOf(workClass) + 1);
