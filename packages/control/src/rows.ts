import { MAX_PORT } from "@persimmonpitch/protocol/port.js";
import * as z from "zod";

/** Holder of the controller role and its epoch. */
export const roleRowSchema = z.object({
    vm: z.string(),
    instanceId: z.string(),
    epoch: z.number().int().positive(),
    /** Set by a controller that shuts down, so that the next one need not wait for the term to expire. */
    isReleased: z.boolean().default(false),
});
export type RoleRow = z.infer<typeof roleRowSchema>;

/** Heartbeat of the controller. */
export const termRowSchema = z.object({ epoch: z.number().int().positive(), beat: z.number().int().nonnegative() });
export type TermRow = z.infer<typeof termRowSchema>;

/** Address at which a process listens for the inner protocol. */
export const processRowSchema = z.object({
    vm: z.string(),
    host: z.string().min(1),
    port: z.number().int().positive().max(MAX_PORT),
    dataCentre: z.string(),
    instanceId: z.string(),
    /** Processor of the VM in cores; entries with more are preferred as controllers. */
    cores: z.number().positive().optional(),
});
export type ProcessRow = z.infer<typeof processRowSchema>;

/** Exists once the job is cancelled. */
export const cancelRowSchema = z.object({ at: z.number() });
export type CancelRow = z.infer<typeof cancelRowSchema>;

export const rowKeys = {
    role: "role",
    term: "term",
    job: (jobId: string) => `job/${jobId}`,
    cancel: (jobId: string) => `cancel/${jobId}`,
    run: (jobId: string) => `run/${jobId}`,
    /** Progress of some tasks of a large job. */
    tasks: (jobId: string, row: number) => `tasks/${jobId}/${row}`,
    agent: (vm: string) => `agent/${vm}`,
    entry: (vm: string) => `entry/${vm}`,
} as const;
