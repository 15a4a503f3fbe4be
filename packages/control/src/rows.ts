import { digestOf } from "@persimmonpitch/protocol/digest.js";
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

/**
 * A cancellation that was answered before its job was stored. Submissions are conditional on its absence, so a write of
 * the job that takes effect later fails. It counts only for jobs of the same owner.
 */
export const tombstoneRowSchema = z.object({
    /** Time of the cancellation, by the clock of the store. */
    at: z.number(),
    queue: z.string(),
    team: z.string().optional(),
});
export type TombstoneRow = z.infer<typeof tombstoneRowSchema>;

/** Who may cancel a job before it is stored: its team, or callers without a key, both through its queue alone. */
export interface JobOwner {
    readonly queue: string;
    readonly team?: string | undefined;
}

/** Number of hexadecimal digits that tell owners apart; names may be longer than a key. */
const OWNER_DIGITS = 32;

const ownerDigest = (owner: string): string => digestOf(owner).slice(0, OWNER_DIGITS);

/** Returns the part of a tombstone's key that names the owner. */
const ownerKeyOf = ({ queue, team }: JobOwner): string =>
    ownerDigest(team === undefined ? `queue/${queue}` : `queueTeam/${JSON.stringify([queue, team])}`);

/** Returns the key of a tombstone by its name, which consists of the job's id and the owner. */
export const tombstoneKey = (name: string): string => `tombstone/${name}`;

/** Keys that a tombstone of the owner may have; earlier releases named a team without its queue. */
export const tombstoneKeys = (jobId: string, owner: JobOwner): readonly string[] => {
    const key = rowKeys.tombstone(jobId, owner);
    return owner.team === undefined ? [key] : [key, tombstoneKey(`${jobId}/${ownerDigest(`team/${owner.team}`)}`)];
};

export const rowKeys = {
    role: "role",
    term: "term",
    load: "load",
    job: (jobId: string) => `job/${jobId}`,
    cancel: (jobId: string) => `cancel/${jobId}`,
    tombstone: (jobId: string, owner: JobOwner) => tombstoneKey(`${jobId}/${ownerKeyOf(owner)}`),
    run: (jobId: string) => `run/${jobId}`,
    /** Progress of some tasks of a large job. */
    tasks: (jobId: string, row: number) => `tasks/${jobId}/${row}`,
    agent: (vm: string) => `agent/${vm}`,
    entry: (vm: string) => `entry/${vm}`,
} as const;
