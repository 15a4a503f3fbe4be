import type { Table, TableError, Transaction, VersionCheck } from "@persimmonpitch/backing/table.js";
import type { Clock } from "@persimmonpitch/clock/clock.js";
import { historyPut } from "@persimmonpitch/history/historyRow.js";
import type { HistoryEvent, HistoryRecord } from "@persimmonpitch/schema/historyRecord.js";
import type { Attempt, JobOutcome, JobRecord, JobSpec } from "@persimmonpitch/schema/job.js";
import { isTerminal, jobRecordSchema } from "@persimmonpitch/schema/job.js";
import { randomUUID } from "node:crypto";
import { Result } from "true-myth";
import * as z from "zod";
import { rowKeys } from "./rowKeys.js";

/** A job record with the version of its row. */
export interface StoredJob {
    readonly record: JobRecord;
    readonly version: number;
}

/** The row of a request key: the job or direct request that used the key. */
export const requestKeyRowSchema = z.object({ kind: z.enum(["job", "request"]), subjectId: z.string() });

/** The version of the epoch row that a holder's writes are conditional on. */
export interface EpochCheck {
    readonly region: string;
    readonly epochRowVersion: number;
}

/** Result of a submission. */
export type SubmissionResult =
    | { readonly kind: "accepted"; readonly job: StoredJob; }
    /** An earlier submission with this request key created the job. */
    | { readonly kind: "known"; readonly job: StoredJob; }
    /** The request key was used for a direct request. */
    | { readonly kind: "keyTaken"; };

/** Result of a cancellation. */
export type CancellationResult =
    | { readonly kind: "cancelled" | "requested" | "alreadyEnded"; readonly job: StoredJob; }
    | { readonly kind: "missing"; };

/** Maximum attempts to cancel a job whose row concurrent writers change. */
const MAX_CANCEL_ATTEMPTS = 8;

const parseJobRow = (value: unknown, version: number): StoredJob => ({ record: jobRecordSchema.parse(value), version });

/** Reads and writes job rows; each change and its history record are committed in one transaction. */
export class JobStore {
    constructor(
        private readonly table: Table,
        private readonly clock: Clock,
        private readonly region: string,
    ) {}

    /** Writes a new job; idempotent for each pair of team and request key. */
    async accept(spec: JobSpec, jobId: string): Promise<Result<SubmissionResult, TableError>> {
        const record: JobRecord = {
            jobId,
            spec,
            state: "queued",
            submittedAt: this.clock.wallTime(),
            attempts: 0,
            cancelRequested: false,
            failedOn: [],
        };
        const key = rowKeys.requestKey(spec.team, spec.requestKey);
        const written = await this.table.commit({
            writeId: randomUUID(),
            checks: [{ key, version: 0 }],
            puts: [
                { key, value: { kind: "job", subjectId: jobId } },
                { key: rowKeys.job(jobId), value: record },
                { key: rowKeys.activeJob(this.region, jobId), value: {} },
                { key: rowKeys.teamJob(spec.team, jobId), value: {} },
                historyPut(this.historyRecordOf(record, 0, "accepted", {})),
            ],
            deletes: [],
        });
        if (written.isOk) {
            const version = written.value[rowKeys.job(jobId)] ?? 1;
            return Result.ok({ kind: "accepted", job: { record, version } });
        }
        return written.error.kind === "conflict" ? this.findByRequestKey(key) : Result.err(written.error);
    }

    async read(jobId: string): Promise<Result<StoredJob | undefined, TableError>> {
        const row = await this.table.read(rowKeys.job(jobId));
        return row.map(found => found === undefined ? undefined : parseJobRow(found.value, found.version));
    }

    /** Iterates over the jobs of the region that have not ended. */
    async *activeJobs(): AsyncGenerator<Result<StoredJob, TableError>> {
        const prefix = rowKeys.activeJobPrefix(this.region);
        for await (const key of scanKeys(this.table, prefix)) {
            const job = key.isErr
                ? Result.err<StoredJob, TableError>(key.error)
                : await this.read(key.value.slice(prefix.length));
            if (job.isErr) {
                yield Result.err(job.error);
                return;
            }
            if (job.value !== undefined) {
                yield Result.ok(job.value);
            }
        }
    }

    /** Records an attempt before any of its tasks start. */
    claim(job: StoredJob, attempt: Attempt, epoch: EpochCheck): Promise<Result<StoredJob, TableError>> {
        const record: JobRecord = { ...job.record, state: "running", attempts: job.record.attempts + 1, attempt };
        return this.commitChange(job, record, epoch, "claimed", { attemptId: attempt.attemptId });
    }

    /** Returns a job to the queue after an attempt that did not end the job. */
    requeue(
        job: StoredJob,
        change: {
            readonly checkpoint?: string;
            readonly failedOn?: readonly string[];
            /** Every agent confirmed that the attempt never started, so it is not counted. */
            readonly isNotRun: boolean;
        },
        event: HistoryEvent,
        detail: string,
        epoch: EpochCheck,
    ): Promise<Result<StoredJob, TableError>> {
        const { attempt, ...rest } = job.record;
        const record: JobRecord = {
            ...rest,
            state: "queued",
            attempts: rest.attempts - (change.isNotRun ? 1 : 0),
            failedOn: [...new Set([...rest.failedOn, ...(change.failedOn ?? [])])],
            ...(change.checkpoint === undefined ? {} : { checkpoint: change.checkpoint }),
        };
        return this.commitChange(job, record, epoch, event, { detail, attemptId: attempt?.attemptId });
    }

    /** Records the final state and the outcome of a job. */
    recordOutcome(
        job: StoredJob,
        state: "finished" | "failed" | "cancelled" | "refused",
        outcome: Omit<JobOutcome, "at">,
        epoch: EpochCheck,
    ): Promise<Result<StoredJob, TableError>> {
        const record: JobRecord = { ...job.record, state, outcome: { ...outcome, at: this.clock.wallTime() } };
        const { ran, detail } = outcome;
        return this.commitChange(job, record, epoch, state, { ran, detail, attemptId: job.record.attempt?.attemptId });
    }

    /**
     * Cancels a queued job, or requests that the role holder stop a running one. If a job is cancelled and finishes
     * concurrently, exactly one of the two is recorded.
     */
    async cancel(jobId: string): Promise<Result<CancellationResult, TableError>> {
        for (let attempt = 0; attempt < MAX_CANCEL_ATTEMPTS; attempt += 1) {
            const read = await this.read(jobId);
            if (read.isErr) {
                return Result.err(read.error);
            }
            if (read.value === undefined) {
                return Result.ok({ kind: "missing" });
            }
            const written = await this.tryCancel(read.value);
            if (written.isOk || written.error.kind !== "conflict") {
                return written;
            }
        }
        return Result.err({ kind: "conflict", keys: [rowKeys.job(jobId)] });
    }

    private async tryCancel(job: StoredJob): Promise<Result<CancellationResult, TableError>> {
        if (isTerminal(job.record.state)) {
            return Result.ok({ kind: "alreadyEnded", job });
        }
        if (job.record.cancelRequested) {
            return Result.ok({ kind: "requested", job });
        }
        if (job.record.state !== "queued") {
            const record = { ...job.record, cancelRequested: true };
            const written = await this.commitChange(job, record, undefined, "cancelRequested", {});
            return written.map(changed => ({ kind: "requested" as const, job: changed }));
        }
        // All attempts of a queued job have ended, so it may have run only if it had an attempt.
        const ran = job.record.attempts === 0 ? "no" : "unknown";
        const outcome = {
            ran,
            code: "cancelled",
            detail: "Cancelled while waiting.",
            at: this.clock.wallTime(),
        } as const;
        const record: JobRecord = { ...job.record, state: "cancelled", outcome };
        const written = await this.commitChange(job, record, undefined, "cancelled", { ran });
        return written.map(changed => ({ kind: "cancelled" as const, job: changed }));
    }

    private async commitChange(
        job: StoredJob,
        record: JobRecord,
        epoch: EpochCheck | undefined,
        event: HistoryEvent,
        history: {
            readonly ran?: JobOutcome["ran"];
            readonly detail?: string;
            readonly attemptId?: string | undefined;
        },
    ): Promise<Result<StoredJob, TableError>> {
        const key = rowKeys.job(record.jobId);
        const { attemptId, ...rest } = history;
        const fields = { ...rest, ...(attemptId === undefined ? {} : { attemptId }) };
        const transaction: Transaction = {
            writeId: randomUUID(),
            checks: [{ key, version: job.version }, ...epochChecks(epoch)],
            // The row version increases with each change, so it serves as the sequence number of the history record.
            puts: [{ key, value: record }, historyPut(this.historyRecordOf(record, job.version, event, fields))],
            deletes: isTerminal(record.state) ? [rowKeys.activeJob(this.region, record.jobId)] : [],
        };
        const written = await this.table.commit(transaction);
        return written.map(versions => ({ record, version: versions[key] ?? job.version + 1 }));
    }

    private historyRecordOf(
        { jobId, spec }: JobRecord,
        sequence: number,
        event: HistoryEvent,
        fields: Partial<HistoryRecord>,
    ): HistoryRecord {
        return {
            team: spec.team,
            kind: "job",
            subjectId: jobId,
            sequence,
            event,
            at: this.clock.wallTime(),
            requestKey: spec.requestKey,
            detail: "",
            ...fields,
        };
    }

    private async findByRequestKey(key: string): Promise<Result<SubmissionResult, TableError>> {
        const row = await this.table.read(key);
        if (row.isErr) {
            return Result.err(row.error);
        }
        const found = requestKeyRowSchema.safeParse(row.value?.value);
        if (!found.success || found.data.kind !== "job") {
            return Result.ok({ kind: "keyTaken" });
        }
        const job = await this.read(found.data.subjectId);
        return job.andThen(stored =>
            stored === undefined
                ? Result.err<SubmissionResult, TableError>({ kind: "conflict", keys: [key] })
                : Result.ok<SubmissionResult, TableError>({ kind: "known", job: stored })
        );
    }
}

const epochChecks = (epoch: EpochCheck | undefined): VersionCheck[] =>
    epoch === undefined ? [] : [{ key: rowKeys.epoch(epoch.region), version: epoch.epochRowVersion }];

const SCAN_PAGE_ROWS = 500;

/** Iterates over the keys with a prefix, reading them in pages. */
export async function* scanKeys(table: Table, prefix: string): AsyncGenerator<Result<string, TableError>> {
    let after: string | undefined;
    do {
        const page = await table.scan(prefix, after, SCAN_PAGE_ROWS);
        if (page.isErr) {
            yield Result.err(page.error);
            return;
        }
        yield* page.value.rows.map(row => Result.ok<string, TableError>(row.key));
        after = page.value.next;
    }
    while (after !== undefined);
}
