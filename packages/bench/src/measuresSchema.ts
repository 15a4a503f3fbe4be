import { millisSchema } from "@persimmonpitch/schema/identifier.js";
import { workClassSchema } from "@persimmonpitch/schema/job.js";
import * as z from "zod";

const countSchema = z.number().int().nonnegative();
const shareSchema = z.number().min(0).max(1);

/** A distribution of times. */
export const timesSchema = z.object({
    count: countSchema,
    meanMs: millisSchema,
    p50Ms: millisSchema,
    p95Ms: millisSchema,
    p99Ms: millisSchema,
    maxMs: millisSchema,
});
export type Times = z.infer<typeof timesSchema>;

/** What docs/measures.md defines, for one replay. */
export const measuresSchema = z.object({
    finished: countSchema,
    failed: countSchema,
    refused: countSchema,
    cancelled: countSchema,
    unfinished: countSchema,
    completion: timesSchema,
    completionByClass: z.record(workClassSchema, timesSchema),
    boundedSlowdown: z.object({ mean: z.number(), p95: z.number() }),
    fragmentation: shareSchema,
    scatter: shareSchema,
    unusableShare: shareSchema,
    guaranteeDelay: timesSchema,
    reclaimDelay: timesSchema,
    unmetGuarantees: countSchema,
    lostToPreemption: shareSchema,
    lostToFaults: shareSchema,
    preemptions: countSchema,
    headWait: z.object({
        count: countSchema,
        longestMs: millisSchema,
        longestBoundMs: millisSchema,
        /** Largest excess of a wait over its own bound; 0 if none is over. */
        worstExcessMs: millisSchema,
        overBound: countSchema,
    }),
    neededBy: z.object({ count: countSchema, feasible: countSchema, late: countSchema, lateFeasible: countSchema }),
    jainIndex: shareSchema,
    bytesAcrossPerSecond: z.number().nonnegative(),
    passes: countSchema,
});
export type Measures = z.infer<typeof measuresSchema>;
