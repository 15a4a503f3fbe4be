import { z } from "zod";
import { demandSchema } from "./step.js";

/** What an executor says of itself. */
export const executorInfoSchema = z.object({
    executorId: z.string(),
    /** Unix time of the start of this incarnation. */
    born: z.number(),
    service: z.string(),
    /** Where it listens. */
    address: z.string().optional(),
    dataCentre: z.string(),
    isDraining: z.boolean(),
    /** Least time left before a draining executor leaves. */
    remainingMs: z.number().nonnegative().optional(),
    capacity: demandSchema,
    labels: z.array(z.string()),
    rack: z.string().optional(),
});
export type ExecutorInfo = z.infer<typeof executorInfoSchema>;

/** One run in progress. */
export const runInProgressSchema = z.object({
    task: z.string(),
    run: z.number().int(),
    checkpoint: z.string(),
    percent: z.number(),
    /** Tail latency in milliseconds of a task that serves users, otherwise millicores in use. */
    load: z.number().optional(),
});
export type RunInProgress = z.infer<typeof runInProgressSchema>;

/** How a run ended: by itself, by its own fault, by an order, with its lease, with its gang, or waiting for its gang. */
export const endKindSchema = z.enum(["done", "failed", "stopped", "lapsed", "broken", "alone"]);
export type EndKind = z.infer<typeof endKindSchema>;

/** One end that the executor keeps until it is acknowledged. */
export const runEndSchema = z.object({
    number: z.number().int(),
    task: z.string(),
    run: z.number().int(),
    kind: endKindSchema,
    checkpoint: z.string(),
});
export type RunEnd = z.infer<typeof runEndSchema>;

/** What an executor lists at one moment. */
export const runListSchema = z.object({
    born: z.number(),
    /** The executor's steady clock. */
    clockMs: z.number(),
    running: z.array(runInProgressSchema),
    ends: z.array(runEndSchema),
});
export type RunList = z.infer<typeof runListSchema>;

/** Why an executor, or the agent beside it, refuses a start. */
export const startRefusalSchema = z.enum([
    "fence",
    "old",
    "late",
    "room",
    "ticket",
    "unhealthy",
    "invalid",
    /** The executor is not of the incarnation that was named, or has not listed its runs yet. */
    "incarnation",
    "draining",
]);
export type StartRefusal = z.infer<typeof startRefusalSchema>;
