import * as z from "zod";

/** A task run as recorded by the worker that executed it. */
export const taskRunSchema = z.object({
    vmId: z.string(),
    attemptId: z.string(),
    jobId: z.string(),
    devices: z.array(z.number().int().nonnegative()),
    startedAt: z.number(),
    endedAt: z.number().optional(),
    state: z.enum(["running", "stopped", "finished", "failed"]),
    result: z.string().optional(),
    /** Checkpoint that the task resumed from. */
    resumedFrom: z.string().optional(),
    /** Checkpoint that the task wrote when it was stopped. */
    checkpoint: z.string().optional(),
});
export type TaskRun = z.infer<typeof taskRunSchema>;

/** A direct request as recorded by the executor that ran it. */
export const requestRunSchema = z.object({
    vmId: z.string(),
    attemptId: z.string(),
    team: z.string(),
    service: z.string(),
    startedAt: z.number(),
    endedAt: z.number().optional(),
    state: z.enum(["running", "finished", "failed", "aborted"]),
    answer: z.string().optional(),
});
export type RequestRun = z.infer<typeof requestRunSchema>;
