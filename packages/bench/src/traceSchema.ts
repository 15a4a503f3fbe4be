import { guaranteeSchema, inventoryVmSchema, rulesSchema, teamSchema } from "@persimmonpitch/schema/configuration.js";
import { identifierSchema, millisSchema } from "@persimmonpitch/schema/identifier.js";
import { jobSpecSchema } from "@persimmonpitch/schema/job.js";
import * as z from "zod";

/** Names of the deployments that traces are generated for. */
export const deploymentNameSchema = z.enum(["cooperative", "lentesud", "plan"]);
export type DeploymentName = z.infer<typeof deploymentNameSchema>;

/** What a trace runs on. */
export const deploymentSchema = z.object({
    name: deploymentNameSchema,
    vms: z.array(inventoryVmSchema),
    teams: z.array(teamSchema),
    guarantees: z.array(guaranteeSchema),
    rules: rulesSchema,
    /** One-way delay between data centres. */
    oneWayMs: millisSchema,
});
export type Deployment = z.infer<typeof deploymentSchema>;

/** A job of a trace, with what only the fake workers know. */
export const traceJobSchema = z.object({
    jobId: identifierSchema,
    submitAt: millisSchema,
    spec: jobSpecSchema,
    trueRunMs: millisSchema.positive(),
    cancelAt: millisSchema.optional(),
    /** The job's own tasks fail on every worker. */
    failsAlways: z.boolean().default(false),
});
export type TraceJob = z.infer<typeof traceJobSchema>;

/** A fault, or the end of one. */
export const traceFaultSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("vmsLost"), at: millisSchema, vmIds: z.array(identifierSchema) }),
    z.object({ kind: z.literal("vmsBack"), at: millisSchema, vmIds: z.array(identifierSchema) }),
    z.object({ kind: z.literal("workerFailing"), at: millisSchema, vmIds: z.array(identifierSchema) }),
    z.object({ kind: z.literal("workerRepaired"), at: millisSchema, vmIds: z.array(identifierSchema) }),
    z.object({ kind: z.literal("storeDown"), at: millisSchema }),
    z.object({ kind: z.literal("storeUp"), at: millisSchema }),
]);
export type TraceFault = z.infer<typeof traceFaultSchema>;

/** Everything that one replay needs; a replay depends on nothing else but the policy. */
export const traceSchema = z.object({
    deployment: deploymentSchema,
    jobs: z.array(traceJobSchema),
    faults: z.array(traceFaultSchema),
    /** Length of the period in which jobs are submitted. */
    lengthMs: millisSchema.positive(),
});
export type Trace = z.infer<typeof traceSchema>;
