import * as z from "zod";
import { queueSchema } from "./clusterConfig.js";
import { MAX_TASKS_PER_STEP, stepSchema } from "./step.js";

const MAX_STEPS = 200;

/** Schedule on which the steps of a job are repeated; the occurrences may overlap. */
export const repetitionSchema = z.object({
    count: z.number().int().min(1),
    /** Due time of the first occurrence, in milliseconds since the Unix epoch. */
    firstDueAt: z.number().nonnegative(),
    /** Time between the due times of successive occurrences. */
    intervalMs: z.number().nonnegative(),
});
export type Repetition = z.infer<typeof repetitionSchema>;

/** Maximum number of tasks of a job in all occurrences of its steps. */
export const MAX_TASKS_PER_JOB = MAX_STEPS * MAX_TASKS_PER_STEP;

const submissionShape = z.object({
    payload: z.string(),
    steps: z.array(stepSchema).min(1).max(MAX_STEPS).refine(
        steps => steps.every((step, index) => step.after.every(earlier => earlier < index)),
        "A step may only come after earlier steps.",
    ),
    repetition: repetitionSchema.optional(),
});

/** A job as a requester submits it. */
export const submissionSchema = submissionShape.refine(
    job => totalTasksOf(job) <= MAX_TASKS_PER_JOB,
    `A job may have at most ${MAX_TASKS_PER_JOB} tasks in all occurrences of its steps.`,
);
export type Submission = z.infer<typeof submissionSchema>;

/** An accepted job; immutable. Jobs that an earlier release accepted may be larger than a submission may be now. */
export const stepJobSchema = submissionShape.extend({
    jobId: z.string().min(1),
    queue: z.string(),
    /**
     * The queue as it was configured when the job was accepted, which applies while the configuration does not have it.
     * Jobs that an earlier release accepted have none.
     */
    acceptedQueue: queueSchema.optional(),
    team: z.string().optional(),
    /** Time at which the job was accepted, by the clock of the store. */
    acceptedAt: z.number(),
});
export type StepJob = z.infer<typeof stepJobSchema>;

/** Returns the number of tasks of a job in all occurrences of its steps. */
export const totalTasksOf = ({ steps, repetition }: Pick<StepJob, "steps" | "repetition">): number =>
    (repetition?.count ?? 1) * steps.reduce((sum, { count }) => sum + count, 0);

/** State of a job as reported to requesters. */
export const jobStateSchema = z.enum(["queued", "running", "completed", "failed", "cancelled"]);
export type JobState = z.infer<typeof jobStateSchema>;
