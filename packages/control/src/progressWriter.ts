import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { isAborted } from "@persimmonpitch/clock/isAborted.js";
import { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { CommitError, StoredRow } from "@persimmonpitch/workload/storedRow.js";
import type { OpenJob } from "./openJob.js";
import { rowKeys } from "./rows.js";
import type { RowStore } from "./rowStore.js";

/** The store accepts 100 entries and 1 MB per call; conditions and rows both count. */
const MAX_ROWS_PER_COMMIT = 45;
const MAX_BYTES_PER_COMMIT = 600_000;
const RETRY_MS: Millis = 100;

export interface ProgressWriterOptions {
    readonly store: RowStore;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Version of the role row. Every write is conditional on it and fails once another process has taken the role. */
    readonly roleVersion: number;
    /** Called once the role is known to be lost. */
    readonly onRoleLost: (detail: string) => void;
    /** Shares committed rows with all entries. */
    readonly announce: (rows: readonly StoredRow[]) => void;
}

interface PendingRow {
    readonly openJob: OpenJob;
    readonly key: string;
    readonly value: string;
    readonly expectedVersion: number;
    /** Whether this row ends the job. */
    readonly isJobEnd: boolean;
}

/** Writes job progress. Batches changes and commits one transaction at a time. */
export class ProgressWriter {
    private dirty = new Set<OpenJob>();
    private readonly wake = new WakeSignal();
    private waiters: (() => void)[] = [];
    private isStopped = false;

    constructor(private readonly options: ProgressWriterOptions) {}

    markDirty(openJob: OpenJob): void {
        this.dirty.add(openJob);
        this.wake.wake();
    }

    /** Resolves with `true` once all changes marked so far are durable, or with `false` if the role is lost first. */
    async flushed(): Promise<boolean> {
        if (!this.isStopped) {
            await new Promise<void>(resolve => {
                this.waiters.push(resolve);
                this.wake.wake();
            });
        }
        return !this.isStopped;
    }

    /** Runs until `signal` aborts or the role is lost. */
    async run(signal: AbortSignal): Promise<void> {
        while (!isAborted(signal) && !this.isStopped) {
            if (this.dirty.size === 0 && this.waiters.length === 0) {
                await this.wake.wait(this.options.clock, 60_000, signal);
                continue;
            }
            const waiters = this.waiters;
            this.waiters = [];
            const jobs = [...this.dirty];
            this.dirty = new Set();
            await this.writeAll(jobs, signal);
            if (!isAborted(signal)) {
                waiters.forEach(resolve => {
                    resolve();
                });
            }
            else {
                this.waiters.push(...waiters);
            }
        }
        this.isStopped = true;
        this.waiters.forEach(resolve => {
            resolve();
        });
    }

    private async writeAll(jobs: readonly OpenJob[], signal: AbortSignal): Promise<void> {
        let remaining = jobs.flatMap(openJob => this.pendingRows(openJob));
        while (remaining.length > 0 && !signal.aborted && !this.isStopped) {
            const batch = nextBatch(remaining);
            await this.writeBatch(batch, signal);
            remaining = remaining.slice(batch.length);
        }
    }

    private pendingRows(openJob: OpenJob): readonly PendingRow[] {
        return openJob.rows.takeChanged(openJob.progress).map(({ key, value }) => ({
            openJob,
            key,
            value,
            expectedVersion: openJob.rows.versionOf(key),
            isJobEnd: !openJob.isOpen && openJob.rows.isHead(key),
        }));
    }

    private async writeBatch(batch: readonly PendingRow[], signal: AbortSignal): Promise<void> {
        const { store, clock, roleVersion } = this.options;
        const transaction = {
            expected: [
                { key: rowKeys.role, version: roleVersion },
                ...batch.map(({ key, expectedVersion }) => ({ key, version: expectedVersion })),
            ],
            puts: batch.map(({ key, value }) => ({ key, value })),
        };
        // After an unclear outcome the same transaction is sent again: either it succeeds, or the conflict shows
        // whether the first attempt took effect.
        while (!signal.aborted && !this.isStopped) {
            const outcome = await store.commit(transaction);
            if (outcome.isOk) {
                this.recordCommitted(batch, () => outcome.value.version);
                return;
            }
            if (outcome.error.kind === "rejected") {
                await this.handleRejection(batch, outcome.error.detail, signal);
                return;
            }
            if (this.handleError(batch, outcome.error)) {
                return;
            }
            await clock.sleep(RETRY_MS, signal);
        }
    }

    /** Handles a failed commit. Returns whether the batch is finished. */
    private handleError(
        batch: readonly PendingRow[],
        error: Exclude<CommitError, { readonly kind: "rejected"; }>,
    ): boolean {
        switch (error.kind) {
            case "conflict":
                return this.handleConflict(batch, error.rows);
            case "unavailable":
            case "unclear":
                this.options.logger.log("debug", "progress.retried", { kind: error.kind, detail: error.detail });
                return false;
            default: {
                const never: never = error;
                return never;
            }
        }
    }

    /**
     * Writes the rows of each job by themselves, so that a job whose rows the store refuses affects no other. Such a job
     * fails, because its runs could not be accounted for.
     */
    private async handleRejection(batch: readonly PendingRow[], detail: string, signal: AbortSignal): Promise<void> {
        const jobs = [...new Set(batch.map(({ openJob }) => openJob))];
        const [openJob] = jobs;
        if (openJob === undefined || jobs.length > 1) {
            for (const job of jobs) {
                await this.writeBatch(batch.filter(row => row.openJob === job), signal);
            }
            return;
        }
        this.options.logger.log("error", "progress.rejected", {
            job: openJob.job.jobId,
            rows: batch.map(({ key }) => key).join(" "),
            longestRow: Math.max(...batch.map(({ value }) => value.length)),
            detail,
        });
        if (!openJob.rows.isReduced) {
            openJob.failUnstorable();
            await this.writeBatch(this.pendingRows(openJob), signal);
        }
    }

    private handleConflict(batch: readonly PendingRow[], rows: readonly StoredRow[]): boolean {
        const byKey = new Map(rows.map(row => [row.key, row]));
        const written = batch.map(({ key, value }) => ({ row: byKey.get(key), value }));
        if (!written.every(({ row, value }) => row?.value === value)) {
            this.endRole("The conditions of a progress write no longer hold.");
            return true;
        }
        this.recordCommitted(batch, ({ openJob, key }) => byKey.get(key)?.version ?? openJob.rows.versionOf(key));
        return true;
    }

    /**
     * Announces ended jobs, because requesters wait for them and should not have to wait for the entries' next polls.
     */
    private recordCommitted(batch: readonly PendingRow[], versionOf: (row: PendingRow) => number): void {
        batch.forEach(row => {
            row.openJob.rows.setVersion(row.key, versionOf(row));
        });
        const ended = batch.filter(({ isJobEnd }) => isJobEnd);
        if (ended.length > 0) {
            this.options.announce(
                ended.map(({ openJob, key, value }) => ({ key, value, version: openJob.rows.versionOf(key) })),
            );
        }
    }

    private endRole(detail: string): void {
        this.isStopped = true;
        this.options.onRoleLost(detail);
    }
}

const nextBatch = (rows: readonly PendingRow[]): readonly PendingRow[] => {
    let bytes = 0;
    const end = rows.findIndex((row, index) => {
        bytes += row.value.length;
        return index > 0 && (bytes > MAX_BYTES_PER_COMMIT || index >= MAX_ROWS_PER_COMMIT);
    });
    return end < 0 ? rows : rows.slice(0, end);
};
