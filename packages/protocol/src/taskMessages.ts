import { identifierSchema, millisSchema } from "@persimmonpitch/schema/identifier.js";
import { z } from "zod";

/** States of a task as its agent knows them. */
export const agentTaskStateSchema = z.enum(["reserved", "running", "stopping", "stopped", "finished", "failed"]);
export type AgentTaskState = z.infer<typeof agentTaskStateSchema>;

const epochSchema = z.number().int().nonnegative();

/** One member of a gang on the VM of the agent. */
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
export const refusalSchema = z.enum([
    "staleEpoch",
    "leaving",
    "noCapacity",
    "noReservation",
    "revoked",
    "duplicate",
    "workerUnavailable",
    "leaseLapsed",
]);
export type Refusal = z.infer<typeof refusalSchema>;

const refusedSchema = z.object({ kind: z.literal("refused"), reason: refusalSchema, detail: z.string() });

/** Orders of the holder of the scheduling role to an agent. Each carries the epoch of the role. */
export const orderMethods = {
    /** Raises the epoch that the agent accepts and returns all its tasks. */
    "task.fence": {
        params: z.object({ epoch: epochSchema }),
        result: z.discriminatedUnion("kind", [
            z.object({ kind: z.literal("fenced"), instanceId: identifierSchema, tasks: z.array(taskReportSchema) }),
            refusedSchema,
        ]),
    },
    "task.reserve": {
        params: z.object({
            epoch: epochSchema,
            attemptId: identifierSchema,
            jobId: identifierSchema,
            accelerators: z.number().int().nonnegative(),
            cores: z.number().nonnegative(),
            memoryMb: z.number().nonnegative(),
            spansVms: z.boolean(),
            timeToLiveMs: millisSchema,
        }),
        result: z.discriminatedUnion("kind", [
            z.object({ kind: z.literal("reserved"), instanceId: identifierSchema }),
            refusedSchema,
        ]),
    },
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
            checkpoint: z.boolean(),
            graceMs: millisSchema,
        }),
        result: z.discriminatedUnion("kind", [
            /** The attempt never started here and never will. */
            z.object({ kind: z.literal("neverStarted"), instanceId: identifierSchema }),
            z.object({ kind: z.literal("stopped"), task: taskReportSchema }),
            refusedSchema,
        ]),
    },
    /** Drops ended tasks whose outcome is durable. */
    "task.forget": {
        params: z.object({ epoch: epochSchema, attemptIds: z.array(identifierSchema) }),
        result: z.discriminatedUnion("kind", [z.object({ kind: z.literal("forgotten") }), refusedSchema]),
    },
} as const;
export type OrderMethods = typeof orderMethods;
