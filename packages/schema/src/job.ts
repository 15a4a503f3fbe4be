import * as z from "zod";
import { gangShapeSchema } from "./gang.js";
import { identifierSchema, millisSchema } from "./identifier.js";

/** Classes of work, from the most to the least urgent. */
export const workClassSchema = z.enum(["urgent", "interactive", "standard", "batch", "bestEffort"]);
export type WorkClass = z.infer<typeof workClassSchema>;

const MAX_PAYLOAD_LENGTH = 256 * 1024;

/** What a caller submits. */
export const jobRequestSchema = z.strictObject({
    workClass: workClassSchema,
    gang: gangShapeSchema,
    /** The caller's estimate; decisions never rely on it alone. */
    declaredRunMs: millisSchema.positive(),
    /** Wall time by which the outcome is needed. */
    neededBy: millisSchema.optional(),
    idempotent: z.boolean(),
    checkpointable: z.boolean().default(false),
    requestKey: identifierSchema,
    payload: z.string().max(MAX_PAYLOAD_LENGTH).default(""),
});
export type JobRequest = z.infer<typeof jobRequestSchema>;

/** A submitted job with the team that owns it. */
export const jobSpecSchema = jobRequestSchema.extend({ team: identifierSchema });
export type JobSpec = z.infer<typeof jobSpecSchema>;

/** Whether a request ran; `no` is said only when it is certain. */
export const ranSchema = z.enum(["no", "yes", "unknown"]);
export type Ran = z.infer<typeof ranSchema>;

export const jobStateSchema = z.enum([
    "queued",
    "starting",
    "running",
    "stopping",
    "finished",
    "failed",
    "cancelled",
    "refused",
]);
export type JobState = z.infer<typeof jobStateSchema>;

/** One member of a gang on one VM. */
export const gangMemberSchema = z.object({ vmId: identifierSchema, accelerators: z.number().int().nonnegative() });
export type GangMember = z.infer<typeof gangMemberSchema>;

/** One try at running a job. */
export const attemptSchema = z.object({
    attemptId: identifierSchema,
    epoch: z.number().int().positive(),
    claimedAt: millisSchema,
    members: z.array(gangMemberSchema).min(1),
});
export type Attempt = z.infer<typeof attemptSchema>;

/** What became of a job. */
export const jobOutcomeSchema = z.object({
    ran: ranSchema,
    code: z.string(),
    detail: z.string(),
    result: z.string().optional(),
    at: millisSchema,
});
export type JobOutcome = z.infer<typeof jobOutcomeSchema>;

/** The row of a job in the platform's table. */
export const jobRecordSchema = z.object({
    jobId: identifierSchema,
    spec: jobSpecSchema,
    state: jobStateSchema,
    submittedAt: millisSchema,
    /** Attempts that ran or may have run. */
    attempts: z.number().int().nonnegative(),
    attempt: attemptSchema.optional(),
    /** Reference to the newest checkpoint, from which a later attempt resumes. */
    checkpoint: z.string().optional(),
    /** Set by a cancellation that arrives while the job runs. */
    cancelRequested: z.boolean().default(false),
    /** VMs on which an attempt failed. */
    failedOn: z.array(identifierSchema).default([]),
    outcome: jobOutcomeSchema.optional(),
});
export type JobRecord = z.infer<typeof jobRecordSchema>;

const TERMINAL: Readonly<Record<JobState, boolean>> = {
    queued: false,
    starting: false,
    running: false,
    stopping: false,
    finished: true,
    failed: true,
    cancelled: true,
    refused: true,
};

/** Whether a job in this state never changes again. */
export const isTerminal = (state: JobState): boolean => TERMINAL[state];
