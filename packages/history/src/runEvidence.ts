import type { RequestRun, TaskRun } from "@persimmonpitch/backing/runRecord.js";
import type { HistoryRecord } from "@persimmonpitch/schema/historyRecord.js";
import { identifierSchema } from "@persimmonpitch/schema/identifier.js";
import type { JobRecord } from "@persimmonpitch/schema/job.js";
import { ranSchema } from "@persimmonpitch/schema/job.js";
import * as z from "zod";

/** What a caller was told about one of its jobs or direct requests. */
export const toldAnswerSchema = z.object({
    team: identifierSchema,
    requestKey: identifierSchema,
    answer: z.string().optional(),
    ran: ranSchema,
    /** The job or request, where the answer named it; a request key can be used again after a refusal. */
    subjectId: identifierSchema.optional(),
    /** As the caller submitted it; jobs have it in their rows. */
    idempotent: z.boolean().optional(),
});
export type ToldAnswer = z.infer<typeof toldAnswerSchema>;

/** All that is known about a run of the system. */
export interface RunEvidence {
    /** History records of all teams. */
    readonly history: readonly HistoryRecord[];
    readonly jobs: readonly JobRecord[];
    readonly told: readonly ToldAnswer[];
    /** The workers' own records. */
    readonly taskRuns: readonly TaskRun[];
    /** The executors' own records. */
    readonly requestRuns: readonly RequestRun[];
}

/** A job or direct request with its events and runs. */
export interface Subject {
    readonly subjectId: string;
    readonly path: string;
    readonly records: readonly HistoryRecord[];
    readonly job: JobRecord | undefined;
    readonly taskRuns: readonly TaskRun[];
    readonly requestRuns: readonly RequestRun[];
}

/** All jobs and requests under one request key, and what its caller was told. */
export interface KeyGroup {
    readonly path: string;
    readonly subjects: readonly Subject[];
    readonly told: readonly ToldAnswer[];
}

/** The evidence, arranged by job or request and by request key. */
export interface EvidenceIndex {
    readonly subjects: readonly Subject[];
    readonly groups: readonly KeyGroup[];
    /** Runs that belong to no job or request. */
    readonly strayRuns: readonly (TaskRun | RequestRun)[];
}

type Builder<T> = {
    -readonly [K in keyof T]: T[K] extends readonly (infer Item)[] ? Item[] : T[K];
};

/** Arranges the evidence. */
export const indexEvidence = (evidence: RunEvidence): EvidenceIndex => {
    const subjects = new Map<string, Builder<Subject>>();
    const groups = new Map<string, Builder<KeyGroup>>();
    const groupOf = (team: string, requestKey: string): Builder<KeyGroup> => {
        const path = `${team}/${requestKey}`;
        const group = groups.get(path) ?? { path, subjects: [], told: [] };
        groups.set(path, group);
        return group;
    };
    const subjectOf = (team: string, requestKey: string, subjectId: string): Builder<Subject> => {
        const known = subjects.get(subjectId);
        if (known !== undefined) {
            return known;
        }
        const path = `${team}/${subjectId}`;
        const subject = { subjectId, path, records: [], job: undefined, taskRuns: [], requestRuns: [] };
        subjects.set(subjectId, subject);
        groupOf(team, requestKey).subjects.push(subject);
        return subject;
    };
    for (const record of evidence.history) {
        subjectOf(record.team, record.requestKey, record.subjectId).records.push(record);
    }
    for (const job of evidence.jobs) {
        subjectOf(job.spec.team, job.spec.requestKey, job.jobId).job = job;
    }
    for (const told of evidence.told) {
        groupOf(told.team, told.requestKey).told.push(told);
    }
    const strayRuns: (TaskRun | RequestRun)[] = [];
    for (const run of evidence.taskRuns) {
        (subjects.get(run.jobId)?.taskRuns ?? strayRuns).push(run);
    }
    for (const run of evidence.requestRuns) {
        (ownerOf(run.attemptId, subjects)?.requestRuns ?? strayRuns).push(run);
    }
    return { subjects: [...subjects.values()], groups: [...groups.values()], strayRuns };
};

/** All runs of a job or request. */
export const runsOf = ({ taskRuns, requestRuns }: Subject): readonly (TaskRun | RequestRun)[] => [
    ...taskRuns,
    ...requestRuns,
];

/** An attempt's id is the id of its job or request, a dot, and parts of its own; ids may hold dots themselves. */
const ownerOf = <Owner>(attemptId: string, owners: ReadonlyMap<string, Owner>): Owner | undefined => {
    const parts = attemptId.split(".");
    const prefixes = parts.map((part, index) => parts.slice(0, index + 1).join("."));
    const ownerId = prefixes.findLast(prefix => owners.has(prefix));
    return ownerId === undefined ? undefined : owners.get(ownerId);
};
