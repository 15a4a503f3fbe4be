import { identifierSchema, millisSchema } from "@persimmonpitch/schema/identifier.js";
import { z } from "zod";
import { agentIdentitySchema, agentReportSchema } from "./agentMessages.js";

/** News of one agent that is connected to the sending entry. */
export const agentNewsSchema = z.object({
    identity: agentIdentitySchema,
    connected: z.boolean(),
    /** Time since the last report; clocks of two VMs are never compared. */
    silentMs: millisSchema,
    report: agentReportSchema.optional(),
});
export type AgentNews = z.infer<typeof agentNewsSchema>;

/** Methods that entries serve to one another. */
export const peerMethods = {
    "peer.hello": {
        params: z.object({ entryId: identifierSchema, region: identifierSchema }),
        result: z.object({ entryId: identifierSchema, region: identifierSchema }),
    },
    /**
     * A heartbeat with news of the sender's agents. The answer grants leases when the receiver holds the role;
     * the sender counts the grant from the time it sent the call, so it never outlasts what the holder assumes.
     */
    "peer.report": {
        params: z.object({
            /** Whether the sender holds the scheduling role, so that the receiver reports to it at once. */
            isHolder: z.boolean(),
            /** All agents of the sender rather than the changed ones. */
            full: z.boolean(),
            agents: z.array(agentNewsSchema),
            configVersion: z.number().int().nonnegative(),
            /** Jobs that were accepted, cancelled or changed through the sender. */
            jobIds: z.array(identifierSchema),
        }),
        result: z.object({
            isHolder: z.boolean(),
            epoch: z.number().int().nonnegative(),
            /** The sender may grant leases to its agents for this time; 0 when the receiver does not hold the role. */
            grantMs: millisSchema,
            configVersion: z.number().int().nonnegative(),
            /** Teams whose queue is at its limit. */
            fullTeams: z.array(identifierSchema),
        }),
    },
    /** An order of the role holder for an agent that is connected to the receiving entry. */
    "peer.order": {
        params: z.object({
            vmId: identifierSchema,
            instanceId: identifierSchema,
            method: z.string(),
            params: z.unknown(),
            timeoutMs: millisSchema,
        }),
        result: z.discriminatedUnion("kind", [
            z.object({ kind: z.literal("answered"), result: z.unknown() }),
            z.object({ kind: z.literal("notSent"), detail: z.string() }),
            z.object({ kind: z.literal("unclear"), detail: z.string() }),
        ]),
    },
    /** What the holder knows of its jobs and guarantees, for operators who ask another entry. */
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
