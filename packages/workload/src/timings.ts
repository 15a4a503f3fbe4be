import * as z from "zod";

/** Time limits and delays that an installation configures, in milliseconds, and the slowdown of spread tasks. */
export const timingsSchema = z.object({
    /** Maximum duration of the lease of an executor. */
    maxLeaseMs: z.number().positive().default(10_000),
    /** Time that a task has to stop after a stop order. */
    stopTimeoutMs: z.number().positive().default(1_000),
    /** How long a started member of a gang waits for the other members. */
    gangTimeoutMs: z.number().positive().default(3_000),
    /** Time limit from the acknowledgement of an urgent job of a team with guaranteed capacity to its first start. */
    reclaimMs: z.number().positive().default(3_000),
    drainTimeoutMs: z.number().positive().default(2_000),
    checkpointIntervalMs: z.number().positive().default(1_000),
    /** Time that a task takes to resume from a checkpoint. */
    restoreMs: z.number().nonnegative().default(500),
    /** Interval between the heartbeats of an executor. */
    heartbeatMs: z.number().positive().default(1_500),
    /** Factor by which a task runs slower away from its data, or when its step is spread over several racks. */
    spreadSlowdown: z.number().min(1).default(3),
    /** Time until a task follows an order that changes its speed. */
    paceMs: z.number().nonnegative().default(100),
    /** How long background tasks may keep a task that serves users above its target latency. */
    disruptionMs: z.number().positive().default(4_000),
    /** How long the state of an ended job stays available to status requests. */
    statusRetentionMs: z.number().positive().default(120_000),
});
export type Timings = z.infer<typeof timingsSchema>;
