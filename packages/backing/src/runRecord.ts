import { z } from "zod";

/** One task as the worker that ran it recorded it. */
export const taskRunSchema = z.object({
    vmId: z.string(),
    attemptId: z.string(),
    jobId: z.string(),
    devices: z.array(z.number().int().nonnegative()),
    startedAt: z.number(),
    endedAt: z.number().optional(),
    state: z.enum(["running", "stopped", "finished", "failed"]),
    result: z.string().optional(),
    /** Checkpoint from which the task went on, and the one that it wrote when it was stopped. */
    resumedFrom: z.string().optional(),
    checkpoint: z.string().optional(),
});
export type TaskRun = z.infer<typeof taskRunSchema>;

/** One direct request as the executor that ran it recorded it. */
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
