import type { Table, TableError, Transaction } from "@persimmonpitch/backing/table.js";
import { backoffDelay } from "@persimmonpitch/clock/backoff.js";
import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { HistoryRecord } from "@persimmonpitch/schema/historyRecord.js";
import { randomUUID } from "node:crypto";
import { Result } from "true-myth";
import { historyBatchPuts } from "./historyRow.js";

/** What a batcher works on, and its limits. */
export interface HistoryBatcherOptions {
    readonly table: Table;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Source of jitter, from 0 to 1. */
    readonly random?: () => number;
    /** Makes an id that no other batch has. */
    readonly newBatchId?: () => string;
    readonly maxBatchRecords?: number;
    /** Longest time that a record waits for others. */
    readonly maxBatchMs?: Millis;
    readonly maxPending?: number;
}

/** A record that is not durable yet. */
export interface PendingRecord {
    /** Resolves to `true` once the record is durable, or to `false` when the batcher ended before that was known. */
    readonly durable: Promise<boolean>;
}

/** The batcher takes no more records: it holds as many as it may, or it is draining. */
export type RefusalReason = "full" | "draining";

interface Waiting {
    readonly record: HistoryRecord;
    readonly addedAt: Millis;
    readonly settle: (isDurable: boolean) => void;
}

const DEFAULT_MAX_BATCH_RECORDS = 100;
const DEFAULT_MAX_BATCH_MS = 500;
const DEFAULT_MAX_PENDING = 20_000;

const BACKOFF = { baseMs: 100, maxMs: 5_000 };

/** No deadline: the wait ends by a record, a drain or an abort. */
const IDLE_WAIT_MS = 3_600_000;

/** Collects records of direct requests and writes them in batches, each in one transaction. */
export class HistoryBatcher {
    private readonly waiting: Waiting[] = [];
    private readonly wake = new WakeSignal();
    private readonly ended = new AbortController();
    private readonly maxBatchRecords: number;
    private readonly maxBatchMs: Millis;
    private readonly maxPending: number;
    private isDraining = false;

    constructor(private readonly options: HistoryBatcherOptions) {
        this.maxBatchRecords = options.maxBatchRecords ?? DEFAULT_MAX_BATCH_RECORDS;
        this.maxBatchMs = options.maxBatchMs ?? DEFAULT_MAX_BATCH_MS;
        this.maxPending = options.maxPending ?? DEFAULT_MAX_PENDING;
    }

    /** Records that are not durable yet. */
    get pending(): number {
        return this.waiting.length;
    }

    /** At the bound no record is taken, so no work should be started whose record could not be kept. */
    get isFull(): boolean {
        return this.waiting.length >= this.maxPending;
    }

    /** Takes a record for the next batch. */
    add(record: HistoryRecord): Result<PendingRecord, RefusalReason> {
        if (this.isDraining || this.ended.signal.aborted) {
            return Result.err("draining");
        }
        if (this.isFull) {
            return Result.err("full");
        }
        const durable = new Promise<boolean>(settle => {
            this.waiting.push({ record, addedAt: this.options.clock.now(), settle });
        });
        this.wake.wake();
        return Result.ok({ durable });
    }

    /** Writes what is pending without further delay and ends the task; resolves to whether all became durable. */
    async drain(): Promise<boolean> {
        this.isDraining = true;
        this.wake.wake();
        if (!this.ended.signal.aborted) {
            await new Promise<void>(resolve => {
                this.ended.signal.addEventListener("abort", () => {
                    resolve();
                });
            });
        }
        return this.waiting.length === 0;
    }

    /** The task of the batcher: waits for a batch, writes it until it is durable, and so on until drained. */
    async run(signal: AbortSignal): Promise<void> {
        while (await this.waitForBatch(signal)) {
            const batch = this.waiting.slice(0, this.maxBatchRecords);
            if (!await this.write(batch, signal)) {
                break;
            }
            this.waiting.splice(0, batch.length);
            batch.forEach(({ settle }) => {
                settle(true);
            });
        }
        this.ended.abort();
        this.waiting.forEach(({ settle }) => {
            settle(false);
        });
    }

    /** Waits until a batch is full or old enough; `false` when there is nothing more to write. */
    private async waitForBatch(signal: AbortSignal): Promise<boolean> {
        const { clock } = this.options;
        while (!signal.aborted) {
            const [oldest] = this.waiting;
            if (oldest === undefined && this.isDraining) {
                return false;
            }
            const dueAt = oldest === undefined ? clock.now() + IDLE_WAIT_MS : oldest.addedAt + this.maxBatchMs;
            const isReady = this.isDraining || this.waiting.length >= this.maxBatchRecords || dueAt <= clock.now();
            if (isReady) {
                return true;
            }
            await this.wake.wait(clock, dueAt - clock.now(), signal);
        }
        return false;
    }

    /** Commits one batch until it is durable; `false` when the signal ended that. */
    private async write(batch: readonly Waiting[], signal: AbortSignal): Promise<boolean> {
        const { table, clock, random = Math.random } = this.options;
        const transaction = this.transactionOf(batch);
        for (let failures = 0;; failures += 1) {
            const written = await table.commit(transaction);
            if (written.isOk || isOwnRowPresent(written.error)) {
                return true;
            }
            this.options.logger.log("warn", "history.writeFailed", { kind: written.error.kind, pending: this.pending });
            if (signal.aborted) {
                return false;
            }
            await clock.sleep(backoffDelay(BACKOFF, failures, random), signal);
        }
    }

    private transactionOf(batch: readonly Waiting[]): Transaction {
        const batchId = (this.options.newBatchId ?? randomUUID)();
        const puts = historyBatchPuts(batchId, batch.map(({ record }) => record));
        return {
            writeId: `history-${batchId}`,
            checks: puts.map(({ key }) => ({ key, version: 0 })),
            puts: [...puts],
            deletes: [],
        };
    }
}

/** The keys of a batch are its own, so a row that is there already comes from a write whose answer was lost. */
const isOwnRowPresent = (error: TableError): boolean => error.kind === "conflict";
