import * as z from "zod";

/** Executor on which a run of a task was ordered. */
export const placementSchema = z.object({
    /** Name of the VM, and of its agent, on which the executor runs. */
    vm: z.string(),
    executorId: z.string(),
    /** Start time of the executor, which identifies its incarnation. */
    born: z.number(),
    /** Address at which the executor listened; only one process at a time can listen at it. */
    address: z.string().optional(),
});
export type Placement = z.infer<typeof placementSchema>;

/** Stored progress of one task. */
export interface TaskProgress {
    /** Number of the last run; 0 before the first. */
    readonly run: number;
    /** Executor on which that run was ordered; absent when no run can be in progress. */
    readonly placement?: Placement | undefined;
    readonly failures: number;
    /** Number of the last run that was counted as failed, so that each run of a gang counts as one failure at most. */
    readonly failedRun?: number | undefined;
    readonly checkpoint?: string | undefined;
    readonly isDone: boolean;
}

/** Whether a job is open, or how it ended. */
export const outcomeSchema = z.enum(["open", "completed", "failed", "cancelled"]);
export type Outcome = z.infer<typeof outcomeSchema>;

/** What the row with the outcome says of tasks that are stored in rows of their own. */
export const splitProgressSchema = z.object({
    /** Whether any task was ever started. */
    isStarted: z.boolean(),
});
export type SplitProgress = z.infer<typeof splitProgressSchema>;

/** Progress of a job, with one entry by task key for each task that was ever started. */
export interface JobProgress {
    readonly outcome: Outcome;
    readonly tasks: Readonly<Record<string, TaskProgress>>;
    /** Present if the row with the outcome holds no tasks, because they are stored in rows of their own. */
    readonly split?: SplitProgress | undefined;
}

/** Progress of a job none of whose tasks was ever started. */
export const NO_PROGRESS: JobProgress = { outcome: "open", tasks: {} };

/** Progress of a task that was never started. */
export const NO_TASK_PROGRESS: TaskProgress = { run: 0, failures: 0, isDone: false };

/** Returns the progress of one task of a job. */
export const taskProgressOf = (progress: JobProgress, key: string): TaskProgress =>
    progress.tasks[key] ?? NO_TASK_PROGRESS;
