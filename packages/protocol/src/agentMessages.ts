import { endpointKindSchema } from "@persimmonpitch/schema/configuration.js";
import { historyRecordSchema } from "@persimmonpitch/schema/historyRecord.js";
import { digestSchema, identifierSchema, millisSchema } from "@persimmonpitch/schema/identifier.js";
import { ranSchema } from "@persimmonpitch/schema/job.js";
import { z } from "zod";
import { orderMethods, taskReportSchema } from "./taskMessages.js";

/** Raised when two versions of the inner protocol cannot talk to each other. */
export const PROTOCOL_VERSION = 1;

/** What an agent says of its VM; it does not change while the agent runs. */
export const agentIdentitySchema = z.object({
    vmId: identifierSchema,
    /** New at each start of the agent. */
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

/** What an entry gives its agents with each answer. */
export const leaseGrantSchema = z.object({
    /** Highest epoch that the entry knows; 0 before the first holder. */
    epoch: z.number().int().nonnegative(),
    /** Time for which the tasks of the agent may go on; 0 while no holder is known. */
    grantMs: millisSchema,
    configVersion: z.number().int().nonnegative(),
});
export type LeaseGrant = z.infer<typeof leaseGrantSchema>;

/** Limits of an executor, from the configuration. */
export const executorLimitsSchema = z.object({
    slots: z.number().int().positive(),
    connections: z.number().int().positive(),
});
export type ExecutorLimits = z.infer<typeof executorLimitsSchema>;

/** The answer to a report: the grant, and the limits when the agent does not have the newest ones. */
export const reportAnswerSchema = leaseGrantSchema.extend({ limits: executorLimitsSchema.optional() });
export type ReportAnswer = z.infer<typeof reportAnswerSchema>;

/** The state of an agent; a delta holds only the tasks that changed. */
export const agentReportSchema = z.object({
    full: z.boolean(),
    leaving: z.boolean(),
    /** The newest version that the agent applies. */
    configVersion: z.number().int().nonnegative(),
    tasks: z.array(taskReportSchema),
    /** Attempts that the agent no longer knows. */
    removed: z.array(identifierSchema),
    /** Direct requests in progress. */
    inFlight: z.number().int().nonnegative(),
    /** Records of direct requests of an entry that went away before they were durable. */
    orphanedRecords: z.array(historyRecordSchema).default([]),
});
export type AgentReport = z.infer<typeof agentReportSchema>;

/** Methods that an entry serves to agents. */
export const agentToEntryMethods = {
    "agent.hello": {
        params: z.object({
            protocolVersion: z.number().int(),
            identity: agentIdentitySchema,
            configVersion: z.number().int().nonnegative(),
        }),
        result: z.object({
            entryId: identifierSchema,
            /** New at each start of the entry: one that starts again has lost the records that it had not written. */
            entryInstanceId: identifierSchema,
            heartbeatMs: millisSchema.positive(),
            limits: executorLimitsSchema,
            grant: leaseGrantSchema,
        }),
    },
    "agent.report": { params: agentReportSchema, result: reportAnswerSchema },
} as const;
export type AgentToEntryMethods = typeof agentToEntryMethods;

/**
 * Why an executor's agent does not run a request. The request did not run and will not, except for a `duplicate`,
 * whose first copy may have run.
 */
export const requestRefusalSchema = z.enum(["busy", "leaving", "expired", "duplicate", "tooManyRecords"]);
export type RequestRefusal = z.infer<typeof requestRefusalSchema>;

/** Methods that an agent serves to entries. */
export const entryToAgentMethods = {
    ...orderMethods,
    "request.run": {
        params: z.object({
            requestId: identifierSchema,
            attemptId: identifierSchema,
            team: identifierSchema,
            service: identifierSchema,
            requestKey: identifierSchema,
            /** Sequence of the record that tells the end of the request. */
            recordSequence: z.number().int().nonnegative(),
            body: z.string(),
            length: z.number().int().nonnegative(),
            digest: digestSchema,
            timeLeftMs: millisSchema,
        }),
        result: z.object({
            /** Requests in progress on the executor, so that entries learn of its load with each answer. */
            inFlight: z.number().int().nonnegative(),
            outcome: z.discriminatedUnion("kind", [
                z.object({
                    kind: z.literal("answered"),
                    requestId: identifierSchema,
                    answer: z.string(),
                    length: z.number().int().nonnegative(),
                    digest: digestSchema,
                }),
                z.object({ kind: z.literal("refused"), reason: requestRefusalSchema }),
                z.object({ kind: z.literal("failed"), ran: ranSchema, detail: z.string() }),
            ]),
        }),
    },
    /** Names requests whose records are durable, so that the agent drops its copies. */
    "request.recorded": {
        params: z.object({ requestIds: z.array(identifierSchema) }),
        result: z.object({}),
    },
    "config.changed": {
        params: z.object({ version: z.number().int().positive(), limits: executorLimitsSchema }),
        result: z.object({ version: z.number().int().nonnegative() }),
    },
} as const;
export type EntryToAgentMethods = typeof entryToAgentMethods;
