import { z } from "zod";

/** Where a run of a task was ordered. */
export const placementSchema = z.object({
    /** Name of the agent beside the executor. */
    vm: z.string(),
    executorId: z.string(),
    /** Incarnation of the executor: the time of its start. */
    born: z.number(),
});
export type Placement = z.infer<typeof placementSchema>;

/** What is durable about one task. */
export const taskProgressSchema = z.object({
    /** Number of the last run; 0 before the first. */
    run: z.number().int().nonnegative().default(0),
    /** Where that run was ordered; absent when no run can be in progress. */
    placement: placementSchema.optional(),
    failures: z.number().int().nonnegative().default(0),
    checkpoint: z.string().optional(),
    isDone: z.boolean().default(false),
});
export type TaskProgress = z.infer<typeof taskProgressSchema>;

/** How far a job is open or has ended. */
export const outcomeSchema = z.enum(["open", "completed", "failed", "cancelled"]);
export type Outcome = z.infer<typeof outcomeSchema>;

/** The row of a job's progress: one entry for each task that was ever started. */
export const jobProgressSchema = z.object({
    outcome: outcomeSchema.default("open"),
    tasks: z.record(z.string(), taskProgressSchema).default({}),
});
export type JobProgress = z.infer<typeof jobProgressSchema>;

/** Progress of a job of which nothing was started. */
export const NO_PROGRESS: JobProgress = { outcome: "open", tasks: {} };

/** Progress of a task that was never started. */
export const NO_TASK_PROGRESS: TaskProgress = { run: 0, failures: 0, isDone: false };
