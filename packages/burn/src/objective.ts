/** Service-level objectives: which share of a class of work must be answered within which time. */
import { millisSchema } from "@persimmonpitch/schema/identifier.js";
import { workClassSchema } from "@persimmonpitch/schema/job.js";
import * as z from "zod";

const MAX_BUDGET_DAYS = 30;

/** The objective of one class of work. */
export const objectiveSchema = z.strictObject({
    workClass: workClassSchema,
    /** Share of the requests that must be good; below 1, because an objective of 1 leaves no error budget to burn. */
    goodShare: z.number().gt(0).lt(1),
    /** An answer is good if it comes within this time. */
    withinMs: millisSchema.positive(),
    /** Period over which the error budget is counted. */
    budgetDays: z.number().int().min(1).max(MAX_BUDGET_DAYS).default(MAX_BUDGET_DAYS),
});
export type Objective = z.infer<typeof objectiveSchema>;

/** The objectives of a deployment, at most one for each class. */
export const objectivesSchema = z.array(objectiveSchema).refine(
    objectives => new Set(objectives.map(({ workClass }) => workClass)).size === objectives.length,
    "A class of work has more than one objective.",
);

/** Objectives for direct requests; an operator sets others in the settings. */
export const DEFAULT_OBJECTIVES: readonly Objective[] = objectivesSchema.parse([
    { workClass: "interactive", goodShare: 0.99, withinMs: 2_000 },
    { workClass: "standard", goodShare: 0.99, withinMs: 10_000 },
    { workClass: "bestEffort", goodShare: 0.9, withinMs: 30_000 },
]);
