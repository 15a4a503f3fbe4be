import { identifierSchema, millisSchema } from "@persimmonpitch/schema/identifier.js";
import * as z from "zod";

/** States of a task as known to its agent. */
export const agentTaskStateSchema = z.enum(["reserved", "running", "stopping", "stopped", "finished", "failed"]);
export type AgentTaskState = z.infer<typeof agentTaskStateSchema>;

const epochSchema = z.number().int().nonnegative();

/** State of one task, which is a member of a gang, on the agent's VM. */
export const taskReportSchema = z.object({
    attemptId: identifierSchema,
    jobId: identifierSchema,
    state: agentTaskStateSchema,
    accelerators: z.number().int().nonnegative(),
    cores: z.number().nonnegative(),
    memoryMb: z.number().nonnegative(),
    /** Whether other members of the gang run on other VMs. */
    spansVms: z.boolean(),
    progress: z.number().min(0).max(1),
    checkpoint: z.string().optional(),
    result: z.string().optional(),
    error: z.string().optional(),
});
export type TaskReport = z.infer<typeof taskReportSchema>;

/** Why an agent refuses an order. */
export const orderRefusalSchema = z.enum([
    /** The agent has accepted a higher epoch. */
    "staleEpoch",
    /** The agent is shutting down and takes no new work. */
    "leaving",
    "noCapacity",
    /** The attempt has no reservation, or its reservation has expired. */
    "noReservation",
    /** The attempt was revoked on this VM, by a stop order, a failed start or the removal of its ended task. */
    "revoked",
    /** The attempt already has a task on this VM. */
    "duplicate",
    /** The worker runtime did not start the task. */
    "workerUnavailable",
    /** The lease of the agent has expired. */
    "leaseLapsed",
]);
export type OrderRefusal = z.infer<typeof orderRefusalSchema>;

const refusedSchema = z.object({ kind: z.literal("refused"), reason: orderRefusalSchema, detail: z.string() });

/** Orders that the holder of the scheduling role sends to an agent. Each carries the epoch of the role. */
export const orderMethods = {
    /**
     * Raises the lowest epoch that the agent accepts, so that it refuses orders of former role holders, and returns all
     * its tasks.
     */
    "task.fence": {
        params: z.object({ epoch: epochSchema }),
        result: z.discriminatedUnion("kind", [
            z.object({ kind: z.literal("fenced"), instanceId: identifierSchema, tasks: z.array(taskReportSchema) }),
            refusedSchema,
        ]),
    },
    /** Reserves resources for an attempt. */
    "task.reserve": {
        params: z.object({
            epoch: epochSchema,
            attemptId: identifierSchema,
            jobId: identifierSchema,
            accelerators: z.number().int().nonnegative(),
            cores: z.number().nonnegative(),
            memoryMb: z.number().nonnegative(),
            spansVms: z.boolean(),
            /** The reservation expires after this time unless the task is started. */
            timeToLiveMs: millisSchema,
        }),
        result: z.discriminatedUnion("kind", [
            z.object({ kind: z.literal("reserved"), instanceId: identifierSchema }),
            refusedSchema,
        ]),
    },
    /** Starts the task of a reserved attempt. */
    "task.start": {
        params: z.object({
            epoch: epochSchema,
            attemptId: identifierSchema,
            payload: z.string(),
            checkpoint: z.string().optional(),
        }),
        result: z.discriminatedUnion("kind", [z.object({ kind: z.literal("started") }), refusedSchema]),
    },
    "task.stop": {
        params: z.object({
            epoch: epochSchema,
            attemptId: identifierSchema,
            /** Whether the task writes a checkpoint before it stops. */
            checkpoint: z.boolean(),
            /** Time that the task gets to stop. */
            graceMs: millisSchema,
        }),
        result: z.discriminatedUnion("kind", [
            /** The attempt has not started on this VM and never will. */
            z.object({ kind: z.literal("neverStarted"), instanceId: identifierSchema }),
            z.object({ kind: z.literal("stopped"), task: taskReportSchema }),
            refusedSchema,
        ]),
    },
    /** Tells the agent to drop ended tasks, because their outcomes are durable. */
    "task.forget": {
        params: z.object({ epoch: epochSchema, attemptIds: z.array(identifierSchema) }),
        result: z.discriminatedUnion("kind", [z.object({ kind: z.literal("forgotten") }), refusedSchema]),
    },
} as const;
export type OrderMethods = typeof orderMethods;
