import { identifierSchema, millisSchema } from "@persimmonpitch/schema/identifier.js";
import * as z from "zod";
import { agentIdentitySchema, agentReportSchema } from "./agentMessages.js";

/** State of one agent of the sending entry. */
export const agentUpdateSchema = z.object({
    identity: agentIdentitySchema,
    /** Whether the agent is connected to the sending entry. */
    connected: z.boolean(),
    /** Time since the agent's last report: a duration, because clocks of different VMs are never compared. */
    silentMs: millisSchema,
    report: agentReportSchema.optional(),
});
export type AgentUpdate = z.infer<typeof agentUpdateSchema>;

/** Methods that entries serve to one another. */
export const peerMethods = {
    /** Handshake in which two entries exchange their ids and regions. */
    "peer.hello": {
        params: z.object({ entryId: identifierSchema, region: identifierSchema }),
        result: z.object({ entryId: identifierSchema, region: identifierSchema }),
    },
    /**
     * Heartbeat with the state of the sender's agents. The response grants a lease if the receiver holds the scheduling
     * role. The sender counts the lease from the time of the call, so that it ends no later than the holder assumes.
     */
    "peer.report": {
        params: z.object({
            /** Whether the sender holds the scheduling role, in which case the receiver reports to it immediately. */
            isHolder: z.boolean(),
            /** Whether `agents` contains all agents of the sender instead of only the changed ones. */
            full: z.boolean(),
            agents: z.array(agentUpdateSchema),
            configVersion: z.number().int().nonnegative(),
            /** Jobs that were accepted, cancelled or changed through the sender. */
            jobIds: z.array(identifierSchema),
        }),
        result: z.object({
            isHolder: z.boolean(),
            epoch: z.number().int().nonnegative(),
            /** Time for which the sender may grant leases to its agents; 0 if the receiver does not hold the role. */
            grantMs: millisSchema,
            configVersion: z.number().int().nonnegative(),
            /** Teams whose queue is at its limit. */
            fullTeams: z.array(identifierSchema),
        }),
    },
    /** Forwards an order of the role holder to an agent that is connected to the receiving entry. */
    "peer.order": {
        params: z.object({
            vmId: identifierSchema,
            instanceId: identifierSchema,
            /** Name of the order method, such as `task.start`. */
            method: z.string(),
            params: z.unknown(),
            timeoutMs: millisSchema,
        }),
        result: z.discriminatedUnion("kind", [
            z.object({ kind: z.literal("answered"), result: z.unknown() }),
            z.object({ kind: z.literal("notSent"), detail: z.string() }),
            /** The order may have reached the agent and may have taken effect. */
            z.object({ kind: z.literal("unclear"), detail: z.string() }),
        ]),
    },
    /** Returns why jobs wait, the unmet guarantees and the VM conditions, for operators who query another entry. */
    "peer.explain": {
        params: z.object({}),
        result: z.object({
            jobs: z.array(z.object({ jobId: identifierSchema, reason: z.string(), detail: z.string() })),
            unmetGuarantees: z.array(
                z.object({ team: identifierSchema, name: identifierSchema, instance: z.number() }),
            ),
            conditions: z.array(z.object({ vmId: identifierSchema, condition: z.string() })),
        }),
    },
} as const;
export type PeerMethods = typeof peerMethods;
