import type { Result } from "true-myth";
import { z } from "zod";

export const taskStateSchema = z.enum(["held", "running", "stopped", "finished", "failed"]);
export type TaskState = z.infer<typeof taskStateSchema>;

/** A task as the worker runtime knows it. */
export const workerTaskSchema = z.object({
    attemptId: z.string(),
    jobId: z.string(),
    devices: z.array(z.number().int().nonnegative()),
    state: taskStateSchema,
    /** Share of the work done, from 0 to 1; it lags behind. */
    progress: z.number().min(0).max(1),
    checkpoint: z.string().optional(),
    result: z.string().optional(),
    error: z.string().optional(),
});
export type WorkerTask = z.infer<typeof workerTaskSchema>;

/** What the worker runtime is asked to run. */
export const taskStartSchema = z.object({
    attemptId: z.string(),
    jobId: z.string(),
    devices: z.array(z.number().int().nonnegative()),
    leaseMs: z.number().positive(),
    payload: z.string(),
    checkpoint: z.string().optional(),
});
export type TaskStart = z.infer<typeof taskStartSchema>;

export type WorkerError =
    | { readonly kind: "refused"; readonly detail: string; }
    | { readonly kind: "unavailable"; readonly detail: string; };

/** The runtime of one worker VM, reached by the agent beside it. */
export interface Worker {
    start(task: TaskStart): Promise<Result<WorkerTask, WorkerError>>;
    /** Extends the leases of all tasks named; a task whose lease lapses is stopped by the worker. */
    renew(attemptIds: readonly string[], leaseMs: number): Promise<Result<undefined, WorkerError>>;
    stop(attemptId: string, checkpoint: boolean, graceMs: number): Promise<Result<WorkerTask, WorkerError>>;
    throttle(attemptId: string, share: number): Promise<Result<undefined, WorkerError>>;
    tasks(): Promise<Result<readonly WorkerTask[], WorkerError>>;
}

/** The executor of a service on one VM, reached by the agent beside it. */
export interface Executor {
    run(request: ExecutorRequest, signal: AbortSignal): Promise<Result<string, WorkerError>>;
}

/** One direct request as the executor sees it. */
export interface ExecutorRequest {
    readonly attemptId: string;
    readonly team: string;
    readonly service: string;
    readonly body: string;
}
