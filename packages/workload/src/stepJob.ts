import { z } from "zod";
import { stepSchema } from "./step.js";

const MAX_STEPS = 200;

/** Repetitions of the steps of a job at due times; they may overlap. */
export const repetitionSchema = z.object({
    count: z.number().int().min(1),
    /** Due time of the first occurrence, in milliseconds of wall time since 1970. */
    firstDueAt: z.number().nonnegative(),
    intervalMs: z.number().nonnegative(),
});
export type Repetition = z.infer<typeof repetitionSchema>;

/** What a requester submits. */
export const submissionSchema = z.object({
    payload: z.string(),
    steps: z.array(stepSchema).min(1).max(MAX_STEPS).refine(
        steps => steps.every((step, index) => step.after.every(earlier => earlier < index)),
        "A step may only come after earlier steps.",
    ),
    repetition: repetitionSchema.optional(),
});
export type Submission = z.infer<typeof submissionSchema>;

/** A job as it was accepted; it never changes. */
export const stepJobSchema = submissionSchema.extend({
    jobId: z.string().min(1),
    queue: z.string(),
    team: z.string().optional(),
    /** Time of acceptance on the clock of the store. */
    acceptedAt: z.number(),
});
export type StepJob = z.infer<typeof stepJobSchema>;

/** State of a job as requesters see it. */
export const jobStateSchema = z.enum(["queued", "running", "completed", "failed", "cancelled"]);
export type JobState = z.infer<typeof jobStateSchema>;
