import * as z from "zod";

/**
 * How long the advice service of a queue takes and how long its answers hold. A step of such a queue starts only on
 * executors that the service allowed.
 */
export const advicePolicySchema = z.object({
    /** Fixed duration of one call. */
    decisionMs: z.number().nonnegative(),
    /** Additional duration of a call for each executor that it asks about. */
    perExecutorMs: z.number().nonnegative(),
    /** How long an answer may be used. */
    validityMs: z.number().nonnegative(),
});
export type AdvicePolicy = z.infer<typeof advicePolicySchema>;

/** A queue of jobs and the host and path at which requesters submit to it. */
export const queueSchema = z.object({
    name: z.string(),
    host: z.string(),
    pathPrefix: z.string(),
    /** Name of the service whose executors run the jobs. */
    service: z.string(),
    /** 0 is the most urgent; its jobs may preempt those of the other queues. */
    priority: z.number().int().nonnegative().default(0),
    maxAttempts: z.number().int().positive().default(1),
    /** Time that a job may take, as a multiple of its longest path of steps; `targetLatencyMs` is added to it. */
    slackFactor: z.number().nonnegative().default(3),
    targetLatencyMs: z.number().nonnegative().default(0),
    /** Whether requests are accepted without an API key. */
    isPublic: z.boolean().default(false),
    advice: advicePolicySchema.optional(),
});
export type Queue = z.infer<typeof queueSchema>;

/** A customer team with its API keys and its guaranteed capacity. */
export const teamSchema = z.object({
    name: z.string(),
    apiKeys: z.array(z.string()).default([]),
    guaranteedAccelerators: z.number().nonnegative().default(0),
});
export type Team = z.infer<typeof teamSchema>;

/** A pool of executors; queues refer to it by name. */
export const serviceSchema = z.object({
    name: z.string(),
    /** Whether the executors refuse tasks that exceed their free capacity. */
    enforcesCapacity: z.boolean().default(false),
    /** Whether the VMs of the pool are switched off. */
    isStandby: z.boolean().default(false),
    maxConnections: z.number().int().positive().default(64),
});
export type Service = z.infer<typeof serviceSchema>;

/** Cluster configuration that the operator sets; its version only increases. */
export const clusterConfigSchema = z.object({
    version: z.number().int().nonnegative(),
    queues: z.array(queueSchema),
    teams: z.array(teamSchema),
    services: z.array(serviceSchema),
    maxBodyBytes: z.number().int().positive().default(262_144),
});
export type ClusterConfig = z.infer<typeof clusterConfigSchema>;
