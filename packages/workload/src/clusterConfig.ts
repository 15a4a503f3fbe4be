import { z } from "zod";

/** Advice that a queue's policy demands before a step starts on an executor. */
export const advicePolicySchema = z.object({
    decisionMs: z.number().nonnegative(),
    perExecutorMs: z.number().nonnegative(),
    validityMs: z.number().nonnegative(),
});
export type AdvicePolicy = z.infer<typeof advicePolicySchema>;

/** A queue of jobs and where requesters reach it. */
export const queueSchema = z.object({
    name: z.string(),
    host: z.string(),
    pathPrefix: z.string(),
    service: z.string(),
    /** 0 is the most urgent and may preempt the others. */
    priority: z.number().int().nonnegative().default(0),
    maxAttempts: z.number().int().positive().default(1),
    slackFactor: z.number().nonnegative().default(3),
    targetLatencyMs: z.number().nonnegative().default(0),
    /** Whether calls need no key. */
    isPublic: z.boolean().default(false),
    advice: advicePolicySchema.optional(),
});
export type Queue = z.infer<typeof queueSchema>;

/** A team with its keys and its promise. */
export const teamSchema = z.object({
    name: z.string(),
    apiKeys: z.array(z.string()).default([]),
    guaranteedAccelerators: z.number().nonnegative().default(0),
});
export type Team = z.infer<typeof teamSchema>;

/** A pool of executors. */
export const serviceSchema = z.object({
    name: z.string(),
    /** Whether the executors refuse what does not fit. */
    enforcesCapacity: z.boolean().default(false),
    /** Whether the machines of the pool are off. */
    isStandby: z.boolean().default(false),
    maxConnections: z.number().int().positive().default(64),
});
export type Service = z.infer<typeof serviceSchema>;

/** The operator's configuration; versions only rise. */
export const clusterConfigSchema = z.object({
    version: z.number().int().nonnegative(),
    queues: z.array(queueSchema),
    teams: z.array(teamSchema),
    services: z.array(serviceSchema),
    maxBodyBytes: z.number().int().positive().default(262_144),
});
export type ClusterConfig = z.infer<typeof clusterConfigSchema>;
