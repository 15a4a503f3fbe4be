import * as z from "zod";
import { digestSchema, identifierSchema, millisSchema } from "./identifier.js";
import { jobRecordSchema, jobStateSchema } from "./job.js";

const countSchema = z.number().int().nonnegative();

/** Answer of `GET /v1/admin/config/history`. */
export const configHistoryAnswerSchema = z.object({
    versions: z.array(z.object({
        version: z.number().int().positive(),
        loadedAt: millisSchema,
        loadedBy: identifierSchema,
    })),
});
export type ConfigHistoryAnswer = z.infer<typeof configHistoryAnswerSchema>;

/** Answer of `GET /v1/jobs`. */
export const jobsAnswerSchema = z.object({ jobs: z.array(jobRecordSchema) });
export type JobsAnswer = z.infer<typeof jobsAnswerSchema>;

/**
 * Answer of `POST /v1/jobs/ID/cancel` and `POST /v1/admin/jobs/ID/cancel`. A cancellation and a finish are both
 * compare-and-set on the job's row, so exactly one wins: `alreadyEnded` says that it was not the cancellation.
 */
export const cancelAnswerSchema = z.object({
    result: z.enum(["cancelled", "stopping", "alreadyEnded"]),
    job: jobRecordSchema,
});
export type CancelAnswer = z.infer<typeof cancelAnswerSchema>;

/** Answer of `POST /v1/admin/vms/ID/drain`: the configuration version that holds the drain. */
export const drainAnswerSchema = z.object({ vmId: identifierSchema, configVersion: z.number().int().positive() });
export type DrainAnswer = z.infer<typeof drainAnswerSchema>;

/** Answer of `POST /v1/services/SERVICE/requests`; length and digest show that the body is complete. */
export const directAnswerSchema = z.object({
    requestId: identifierSchema,
    requestKey: identifierSchema,
    body: z.string(),
    /** Length of the body in bytes of UTF-8. */
    length: countSchema,
    sha256: digestSchema,
});
export type DirectAnswer = z.infer<typeof directAnswerSchema>;

export const vmConditionSchema = z.enum(["ready", "draining", "quarantined", "unknown"]);

/** Answer of `GET /v1/admin/status`. */
export const statusAnswerSchema = z.object({
    region: identifierSchema,
    /** The holder is absent while nobody is known to hold the scheduling role. */
    role: z.object({ holder: identifierSchema.optional(), epoch: countSchema }),
    /** Absent while the process has no configuration. */
    configVersion: z.number().int().positive().optional(),
    vms: z.array(z.object({
        vmId: identifierSchema,
        condition: vmConditionSchema,
        accelerators: countSchema,
        freeAccelerators: countSchema,
        leaving: z.boolean(),
    })),
    teams: z.array(z.object({
        team: identifierSchema,
        running: countSchema,
        queued: countSchema,
        acceleratorsInUse: countSchema,
    })),
    jobs: z.array(z.object({
        jobId: identifierSchema,
        team: identifierSchema,
        state: jobStateSchema,
        reason: z.string().optional(),
        detail: z.string().optional(),
    })),
    unmetGuarantees: z.array(z.object({ team: identifierSchema, name: identifierSchema, instance: countSchema })),
    /** Breaches of the invariants that this process has noticed since its start, by invariant id. */
    breaches: z.record(z.string(), countSchema).default({}),
});
export type StatusAnswer = z.infer<typeof statusAnswerSchema>;
