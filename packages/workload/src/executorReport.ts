import * as z from "zod";
import { demandSchema } from "./step.js";

/** Identity, state and capacity that an executor reports. */
export const executorInfoSchema = z.object({
    executorId: z.string(),
    /** Unix time at which this incarnation of the executor started; identifies the incarnation. */
    born: z.number(),
    service: z.string(),
    /** Address at which the executor listens. */
    address: z.string().optional(),
    dataCentre: z.string(),
    isDraining: z.boolean(),
    /** Lower bound of the time until a draining executor shuts down. */
    remainingMs: z.number().nonnegative().optional(),
    /** How much longer the executor works slowly after its start. */
    coldRemainingMs: z.number().nonnegative().optional(),
    capacity: demandSchema,
    labels: z.array(z.string()),
    rack: z.string().optional(),
});
export type ExecutorInfo = z.infer<typeof executorInfoSchema>;

/** Whether the executor works slowly for some time after its start, as after an evacuation of its data centre. */
export const isCold = ({ coldRemainingMs = 0 }: Pick<ExecutorInfo, "coldRemainingMs">): boolean => coldRemainingMs > 0;

/** A run of a task that an executor reports as in progress. */
export const runInProgressSchema = z.object({
    task: z.string(),
    run: z.number().int(),
    checkpoint: z.string(),
    percent: z.number(),
    /** Tail latency in milliseconds if the task serves users, otherwise the millicores that it uses. */
    load: z.number().optional(),
});
export type RunInProgress = z.infer<typeof runInProgressSchema>;

/** How a run ended. */
export const endKindSchema = z.enum([
    "done",
    "failed",
    /** By a stop order. */
    "stopped",
    /** The lease of the executor expired. */
    "lapsed",
    /** Another member of the gang ended. */
    "broken",
    /** The other members of the gang did not start in time. */
    "alone",
]);
export type EndKind = z.infer<typeof endKindSchema>;

/** The end of a run; the executor keeps reporting it until the controller acknowledges it. */
export const runEndSchema = z.object({
    /** Sequence number of the end, by which it is acknowledged. */
    number: z.number().int(),
    task: z.string(),
    run: z.number().int(),
    kind: endKindSchema,
    checkpoint: z.string(),
});
export type RunEnd = z.infer<typeof runEndSchema>;

/** Snapshot of the runs in progress and the unacknowledged ends on one executor. */
export const runListSchema = z.object({
    born: z.number(),
    /** Reading of the monotonic clock of the executor. */
    clockMs: z.number(),
    running: z.array(runInProgressSchema),
    /** The first unacknowledged ends, in order of their numbers. */
    ends: z.array(runEndSchema),
    /** Whether there may be further ends, so that a run that is not listed may have ended in any way. */
    hasMoreEnds: z.boolean().default(false),
});
export type RunList = z.infer<typeof runListSchema>;

/** Why an executor, or the agent on its VM, refuses to start a run. */
export const startRefusalSchema = z.enum([
    /** The fencing token of the order is out of date. */
    "fence",
    /** A run of the task with this number or a higher one was ordered before. */
    "old",
    /** The lease deadline in the order has passed. */
    "late",
    /** The free capacity is too small. */
    "room",
    /** The ticket from the advice service is not accepted. */
    "ticket",
    /** The executor is overloaded or unavailable. */
    "unhealthy",
    /** The order is malformed. */
    "invalid",
    /** The order is for another incarnation of the executor, or the executor has not listed its runs yet. */
    "incarnation",
    "draining",
]);
export type StartRefusal = z.infer<typeof startRefusalSchema>;
