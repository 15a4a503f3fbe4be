import type { Result } from "true-myth";
import * as z from "zod";

export const taskStateSchema = z.enum(["held", "running", "stopped", "finished", "failed"]);
export type TaskState = z.infer<typeof taskStateSchema>;

/** A task as reported by the worker runtime. */
export const workerTaskSchema = z.object({
    attemptId: z.string(),
    jobId: z.string(),
    devices: z.array(z.number().int().nonnegative()),
    state: taskStateSchema,
    /** Completed fraction of the work, from 0 to 1; reported with a delay. */
    progress: z.number().min(0).max(1),
    checkpoint: z.string().optional(),
    result: z.string().optional(),
    error: z.string().optional(),
});
export type WorkerTask = z.infer<typeof workerTaskSchema>;

/** Request to start a task. */
export const startTaskRequestSchema = z.object({
    attemptId: z.string(),
    jobId: z.string(),
    devices: z.array(z.number().int().nonnegative()),
    leaseMs: z.number().positive(),
    payload: z.string(),
    checkpoint: z.string().optional(),
});
export type StartTaskRequest = z.infer<typeof startTaskRequestSchema>;

export type WorkerError =
    | { readonly kind: "refused"; readonly detail: string; }
    | { readonly kind: "unavailable"; readonly detail: string; };

/** The worker runtime of one VM, called by the agent on the same VM. */
export interface Worker {
    start(task: StartTaskRequest): Promise<Result<WorkerTask, WorkerError>>;
    /** Renews the leases of the given tasks; the worker stops a task whose lease expires. */
    renewLeases(attemptIds: readonly string[], leaseMs: number): Promise<Result<undefined, WorkerError>>;
    stop(attemptId: string, writeCheckpoint: boolean, graceMs: number): Promise<Result<WorkerTask, WorkerError>>;
    /** Limits a task to a fraction of its full speed, from 0 to 1. */
    throttle(attemptId: string, share: number): Promise<Result<undefined, WorkerError>>;
    listTasks(): Promise<Result<readonly WorkerTask[], WorkerError>>;
}

/** The executor of a service on one VM, called by the agent on the same VM. */
export interface Executor {
    run(request: ExecutorRequest, signal: AbortSignal): Promise<Result<string, WorkerError>>;
}

/** A direct request as passed to the executor. */
export interface ExecutorRequest {
    readonly attemptId: string;
    readonly team: string;
    readonly service: string;
    readonly body: string;
}
