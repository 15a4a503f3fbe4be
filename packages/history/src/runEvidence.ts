import type { RequestRun, TaskRun } from "@persimmonpitch/platform/runRecord.js";
import type { HistoryRecord } from "@persimmonpitch/schema/historyRecord.js";
import { identifierSchema } from "@persimmonpitch/schema/identifier.js";
import type { JobRecord } from "@persimmonpitch/schema/job.js";
import { ranSchema } from "@persimmonpitch/schema/job.js";
import { z } from "zod";

/** What a caller was told about one of its jobs or direct requests. */
export const toldAnswerSchema = z.object({
    team: identifierSchema,
    requestKey: identifierSchema,
    answer: z.string().optional(),
    ran: ranSchema,
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

/** A job or direct request, found by its team and request key. */
export interface Subject {
    readonly path: string;
    readonly records: readonly HistoryRecord[];
    readonly job: JobRecord | undefined;
    readonly told: readonly ToldAnswer[];
    readonly taskRuns: readonly TaskRun[];
    readonly requestRuns: readonly RequestRun[];
}

/** The evidence, arranged by job and request. */
export interface EvidenceIndex {
    readonly subjects: readonly Subject[];
    /** Runs that belong to no job or request of the history. */
    readonly strayTaskRuns: readonly TaskRun[];
    readonly strayRequestRuns: readonly RequestRun[];
}

type SubjectBuilder = {
    -readonly [K in keyof Subject]: Subject[K] extends readonly (infer Item)[] ? Item[] : Subject[K];
};

/** Arranges the evidence by job and request. */
export const indexEvidence = (evidence: RunEvidence): EvidenceIndex => {
    const builders = new Map<string, SubjectBuilder>();
    const builderOf = (team: string, requestKey: string): SubjectBuilder => {
        const path = `${team}/${requestKey}`;
        const builder = builders.get(path)
            ?? { path, records: [], job: undefined, told: [], taskRuns: [], requestRuns: [] };
        builders.set(path, builder);
        return builder;
    };
    const byJobId = new Map<string, SubjectBuilder>();
    const bySubjectId = new Map<string, SubjectBuilder>();
    const byAttempt = new Map<string, SubjectBuilder>();
    for (const record of evidence.history) {
        const builder = builderOf(record.team, record.requestKey);
        builder.records.push(record);
        bySubjectId.set(record.subjectId, builder);
        if (record.attemptId !== undefined) {
            byAttempt.set(record.attemptId, builder);
        }
    }
    for (const job of evidence.jobs) {
        const builder = builderOf(job.spec.team, job.spec.requestKey);
        builder.job = job;
        byJobId.set(job.jobId, builder);
    }
    evidence.told.forEach(told => builderOf(told.team, told.requestKey).told.push(told));
    const strayTaskRuns: TaskRun[] = [];
    for (const run of evidence.taskRuns) {
        const builder = byJobId.get(run.jobId) ?? bySubjectId.get(run.jobId);
        (builder?.taskRuns ?? strayTaskRuns).push(run);
    }
    const strayRequestRuns: RequestRun[] = [];
    for (const run of evidence.requestRuns) {
        const builder = byAttempt.get(run.attemptId) ?? bySubjectId.get(subjectIdOf(run.attemptId));
        (builder?.requestRuns ?? strayRequestRuns).push(run);
    }
    return { subjects: [...builders.values()], strayTaskRuns, strayRequestRuns };
};

/** An attempt's id is the id of its job or request, a dot, and a part of its own. */
const subjectIdOf = (attemptId: string): string => attemptId.split(".")[0] ?? attemptId;
