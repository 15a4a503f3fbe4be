import { z } from "zod";

/** Where a run of a task was ordered. */
export const placementSchema = z.object({
    /** Name of the agent beside the executor. */
    vm: z.string(),
    executorId: z.string(),
    /** Incarnation of the executor: the time of its start. */
    born: z.number(),
    /** Where it listened: one process at a time can listen there. */
    address: z.string().optional(),
});
export type Placement = z.infer<typeof placementSchema>;

/** What is durable about one task. */
export interface TaskProgress {
    /** Number of the last run; 0 before the first. */
    readonly run: number;
    /** Where that run was ordered; absent when no run can be in progress. */
    readonly placement?: Placement | undefined;
    readonly failures: number;
    /** Last run whose failure was counted, so that a gang counts one failure for each of its runs. */
    readonly failedRun?: number | undefined;
    readonly checkpoint?: string | undefined;
    readonly isDone: boolean;
}

/** How far a job is open or has ended. */
export const outcomeSchema = z.enum(["open", "completed", "failed", "cancelled"]);
export type Outcome = z.infer<typeof outcomeSchema>;

/** How far a job has come: one entry, by key of the task, for each task that was ever started. */
export interface JobProgress {
    readonly outcome: Outcome;
    readonly tasks: Readonly<Record<string, TaskProgress>>;
}

/** Progress of a job of which nothing was started. */
export const NO_PROGRESS: JobProgress = { outcome: "open", tasks: {} };

/** Progress of a task that was never started. */
export const NO_TASK_PROGRESS: TaskProgress = { run: 0, failures: 0, isDone: false };

/** Progress of one task of a job. */
export const progressOf = (progress: JobProgress, key: string): TaskProgress => progress.tasks[key] ?? NO_TASK_PROGRESS;
