import { z } from "zod";

/** Bounds that an installation sets, all in milliseconds. */
export const timingsSchema = z.object({
    /** Longest lease of an executor. */
    maxLeaseMs: z.number().positive().default(10_000),
    stopTimeoutMs: z.number().positive().default(1_000),
    gangTimeoutMs: z.number().positive().default(3_000),
    /** Time from the acknowledgement of an urgent guaranteed job to the start of its first step. */
    reclaimMs: z.number().positive().default(3_000),
    drainTimeoutMs: z.number().positive().default(2_000),
    checkpointIntervalMs: z.number().positive().default(1_000),
    restoreMs: z.number().nonnegative().default(500),
    /** How often an executor announces itself. */
    heartbeatMs: z.number().positive().default(1_500),
    /** How much longer a task takes away from its data, or spread over racks. */
    spreadSlowdown: z.number().min(1).default(3),
    /** Time until a change of the pace of a task takes effect. */
    paceMs: z.number().nonnegative().default(100),
    /** How long fillers may keep a task that serves users above its target. */
    disruptionMs: z.number().positive().default(4_000),
    /** How long the state of an ended job can be asked for. */
    statusRetentionMs: z.number().positive().default(120_000),
});
export type Timings = z.infer<typeof timingsSchema>;
