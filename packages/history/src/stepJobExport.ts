import { outcomeSchema, placementSchema } from "@persimmonpitch/workload/progress.js";
import { stepJobSchema } from "@persimmonpitch/workload/stepJob.js";
import * as z from "zod";

/** State of one task that was ever started. */
const exportedTaskSchema = z.object({
    run: z.number().int().nonnegative(),
    placement: placementSchema.optional(),
    failures: z.number().int().nonnegative(),
    failedRun: z.number().int().nonnegative().optional(),
    checkpoint: z.string().optional(),
    isDone: z.boolean(),
});

/** One line of an export of jobs of steps. */
export const stepJobLineSchema = z.strictObject({
    job: stepJobSchema,
    /** Wall time of the cancellation. */
    cancelledAt: z.number().optional(),
    outcome: outcomeSchema,
    /** By key of the task; a task that was never started is absent. */
    tasks: z.record(z.string(), exportedTaskSchema),
});
export type StepJobLine = z.infer<typeof stepJobLineSchema>;

/** The last line of an export of jobs of steps. */
export const stepManifestSchema = z.object({
    team: z.string(),
    exportedAt: z.number(),
    jobs: z.number().int().nonnegative(),
    cancelled: z.number().int().nonnegative(),
    tasks: z.number().int().nonnegative(),
    /** Digest of all lines before this one, each with its line feed. */
    sha256: z.string().regex(/^[0-9a-f]{64}$/),
});
export type StepManifest = z.infer<typeof stepManifestSchema>;

export const stepManifestLineSchema = z.strictObject({ manifest: stepManifestSchema });
