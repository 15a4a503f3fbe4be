import { endpointKindSchema } from "@persimmonpitch/schema/configuration.js";
import { historyRecordSchema } from "@persimmonpitch/schema/historyRecord.js";
import { digestSchema, identifierSchema, millisSchema } from "@persimmonpitch/schema/identifier.js";
import { ranSchema } from "@persimmonpitch/schema/job.js";
import * as z from "zod";
import { orderMethods, taskReportSchema } from "./taskMessages.js";

/** Version of the inner protocol; incremented with each incompatible change. */
export const PROTOCOL_VERSION = 1;

/** Description of an agent's VM; constant while the agent runs. */
export const agentIdentitySchema = z.object({
    vmId: identifierSchema,
    /** Changes with each start of the agent. */
    instanceId: identifierSchema,
    dataCentre: identifierSchema,
    rack: identifierSchema,
    kind: endpointKindSchema,
    service: identifierSchema.optional(),
    accelerators: z.number().int().nonnegative(),
    cores: z.number().nonnegative(),
    memoryMb: z.number().nonnegative(),
});
export type AgentIdentity = z.infer<typeof agentIdentitySchema>;

/** Lease grant that an entry sends to an agent in each response. */
export const leaseGrantSchema = z.object({
    /** Highest epoch known to the entry; 0 before the scheduling role has its first holder. */
    epoch: z.number().int().nonnegative(),
    /** Time for which the agent's tasks may keep running; 0 while the entry knows no role holder. */
    grantMs: millisSchema,
    configVersion: z.number().int().nonnegative(),
});
export type LeaseGrant = z.infer<typeof leaseGrantSchema>;

/** Concurrency limits of an executor, from the configuration; the lower one bounds its requests in progress. */
export const executorLimitsSchema = z.object({
    slots: z.number().int().positive(),
    connections: z.number().int().positive(),
});
export type ExecutorLimits = z.infer<typeof executorLimitsSchema>;

/** Response to a report: the lease grant, and the limits if the agent does not have the newest ones. */
export const reportAnswerSchema = leaseGrantSchema.extend({ limits: executorLimitsSchema.optional() });
export type ReportAnswer = z.infer<typeof reportAnswerSchema>;

/** State of an agent, either in full or as a delta that contains only the changed tasks. */
export const agentReportSchema = z.object({
    /** Whether the report contains all tasks instead of a delta. */
    full: z.boolean(),
    /** Whether the agent is shutting down and takes no new work. */
    leaving: z.boolean(),
    /** Newest configuration version that the agent has applied. */
    configVersion: z.number().int().nonnegative(),
    tasks: z.array(taskReportSchema),
    /** Attempts whose tasks the agent has removed. */
    removed: z.array(identifierSchema),
    /** Direct requests in progress. */
    inFlight: z.number().int().nonnegative(),
    /** Records of direct requests whose entry disconnected before it confirmed that they are durable. */
    orphanedRecords: z.array(historyRecordSchema).default([]),
});
export type AgentReport = z.infer<typeof agentReportSchema>;

/** Methods that an entry serves to agents. */
export const agentToEntryMethods = {
    /** Handshake that opens each connection of an agent. */
    "agent.hello": {
        params: z.object({
            protocolVersion: z.number().int(),
            identity: agentIdentitySchema,
            configVersion: z.number().int().nonnegative(),
        }),
        result: z.object({
            entryId: identifierSchema,
            /** Changes with each start of the entry: a restarted entry has lost the records that it had not written. */
            entryInstanceId: identifierSchema,
            heartbeatMs: millisSchema.positive(),
            limits: executorLimitsSchema,
            grant: leaseGrantSchema,
        }),
    },
    /** Heartbeat with the state of the agent. */
    "agent.report": { params: agentReportSchema, result: reportAnswerSchema },
} as const;
export type AgentToEntryMethods = typeof agentToEntryMethods;

/**
 * Why an agent refuses to run a request on its executor. The request has not run and will not run, except for a
 * `duplicate`, whose first copy may have run.
 */
export const requestRefusalSchema = z.enum(["busy", "leaving", "expired", "duplicate", "tooManyRecords"]);
export type RequestRefusal = z.infer<typeof requestRefusalSchema>;

/** Methods that an agent serves to entries. */
export const entryToAgentMethods = {
    ...orderMethods,
    /** Runs a direct request on the executor of the agent. */
    "request.run": {
        params: z.object({
            requestId: identifierSchema,
            attemptId: identifierSchema,
            team: identifierSchema,
            service: identifierSchema,
            requestKey: identifierSchema,
            /** Sequence number of the history record for the end of the request. */
            recordSequence: z.number().int().nonnegative(),
            body: z.string(),
            /** Size of the body in bytes of UTF-8. */
            length: z.number().int().nonnegative(),
            /** SHA-256 of the body. */
            digest: digestSchema,
            /** Time until the deadline of the request. */
            timeLeftMs: millisSchema,
        }),
        result: z.object({
            /** Requests in progress on the executor, so that each response informs the entry of its load. */
            inFlight: z.number().int().nonnegative(),
            outcome: z.discriminatedUnion("kind", [
                z.object({
                    kind: z.literal("answered"),
                    requestId: identifierSchema,
                    answer: z.string(),
                    /** Size of the answer in bytes of UTF-8. */
                    length: z.number().int().nonnegative(),
                    /** SHA-256 of the answer. */
                    digest: digestSchema,
                }),
                z.object({ kind: z.literal("refused"), reason: requestRefusalSchema }),
                z.object({ kind: z.literal("failed"), ran: ranSchema, detail: z.string() }),
            ]),
        }),
    },
    /** Confirms that the records of these requests are durable, so that the agent drops its copies. */
    "request.recorded": {
        params: z.object({ requestIds: z.array(identifierSchema) }),
        result: z.object({}),
    },
    /** Announces a configuration version; the result contains the version that the agent has applied. */
    "config.changed": {
        params: z.object({ version: z.number().int().positive(), limits: executorLimitsSchema }),
        result: z.object({ version: z.number().int().nonnegative() }),
    },
} as const;
export type EntryToAgentMethods = typeof entryToAgentMethods;
