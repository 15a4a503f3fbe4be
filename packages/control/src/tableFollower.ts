import { WAIT_OVER } from "@persimmonpitch/clock/abortReasons.js";
import type { BackoffOptions } from "@persimmonpitch/clock/backoff.js";
import { backoffDelay } from "@persimmonpitch/clock/backoff.js";
import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { isAborted } from "@persimmonpitch/clock/isAborted.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { ChangedRow, ReadError, StoredRow } from "@persimmonpitch/workload/storedRow.js";
import type { Result } from "true-myth";
import { err, ok } from "true-myth/result";
import type { RowStore } from "./rowStore.js";

/** Receives the rows of a table. */
export interface RowSink {
    /** Replaces all rows with those of the table at `version`. Rows that are not included no longer exist. */
    reset(rows: readonly StoredRow[], version: number, silenceMs?: Millis): void;
    /** Applies changes. `silenceMs` is the time between the store's previous response and the one with the changes. */
    apply(rows: readonly ChangedRow[], silenceMs?: Millis): void;
}

export interface TableFollowerOptions {
    readonly name: string;
    readonly store: RowStore;
    readonly sink: RowSink;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly random: () => number;
    /** Longest time that one poll waits for changes. */
    readonly waitMs?: Millis;
    /** Delay after each response with changes, so that several changes share one call. */
    readonly pauseMs?: () => Millis;
}

const DEFAULT_WAIT_MS: Millis = 1_000;
/** A poll that is answered directly or, after one timeout, by a peer ends within this time. */
const OVERDUE_MS: Millis = 3_000;
const SCAN_LIMIT = 500;
const RETRY_BACKOFF: BackoffOptions = { baseMs: 50, maxMs: 400 };

/** Keeps a sink up to date with one table by long polling. */
export class TableFollower {
    /** Version up to which the sink has all rows; `undefined` before the first scan and during a rescan. */
    version: number | undefined;
    /** Whether the sink has ever had all rows. It keeps its rows during a rescan. */
    hasScanned = false;
    /** When the store last responded. */
    answeredAt: Millis | undefined;
    /** Since when the store has not been responding; `undefined` while it responds. */
    private unavailableSince: Millis | undefined;
    /** Offset of the store's monotonic clock from the local clock. */
    storeClockOffsetMs: Millis = 0;

    constructor(private readonly options: TableFollowerOptions) {}

    /** Time since the store last responded; `undefined` before the first response. */
    get answerAgeMs(): Millis | undefined {
        return this.answeredAt === undefined ? undefined : this.options.clock.now() - this.answeredAt;
    }

    /** Follows the table until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, logger, name, random } = this.options;
        let failures = 0;
        while (!isAborted(signal)) {
            const outcome = this.version === undefined ? await this.scanAll() : await this.poll(this.version, signal);
            if (outcome.isOk) {
                failures = 0;
            }
            else if (outcome.error.kind === "compacted") {
                logger.log("info", "follower.historyGone", { table: name });
                this.version = undefined;
            }
            else if (!isAborted(signal)) {
                failures += 1;
                this.recordFailure(outcome.error.detail);
                await clock.sleep(backoffDelay(RETRY_BACKOFF, failures, random), signal);
            }
        }
    }

    private async scanAll(): Promise<Result<void, ReadError>> {
        const rows: StoredRow[] = [];
        let from = "";
        let version: number | undefined;
        let silenceMs: Millis | undefined;
        for (;;) {
            const page = await this.options.store.scan({ from, limit: SCAN_LIMIT });
            if (page.isErr) {
                return err(page.error);
            }
            silenceMs ??= this.recordAnswer(page.value.nowMs);
            // Changes made between two pages arrive again with the first poll, which starts at the version of the first
            // page.
            version ??= page.value.version;
            rows.push(...page.value.rows);
            const last = page.value.rows.at(-1);
            if (!page.value.hasMore || last === undefined) {
                break;
            }
            from = `${last.key}\u0000`;
        }
        this.options.sink.reset(rows, version, silenceMs);
        this.version = version;
        this.hasScanned = true;
        return ok(undefined);
    }

    private async poll(after: number, signal: AbortSignal): Promise<Result<void, ReadError>> {
        const { clock, store, sink, waitMs = DEFAULT_WAIT_MS, pauseMs } = this.options;
        const changes = await this.logIfOverdue(store.follow(after, waitMs, signal));
        if (changes.isErr) {
            return err(changes.error);
        }
        const silenceMs = this.recordAnswer(changes.value.nowMs);
        sink.apply(changes.value.rows, silenceMs);
        this.version = changes.value.version;
        const pause = pauseMs?.() ?? 0;
        if (pause > 0 && changes.value.rows.length > 0) {
            await clock.sleep(pause, signal);
        }
        return ok(undefined);
    }

    /** Logs a poll that has not ended after `OVERDUE_MS`, which no other line shows while it lasts, and its end. */
    private async logIfOverdue<T>(poll: Promise<T>): Promise<T> {
        const { clock, logger, name } = this.options;
        const startedAt = clock.now();
        const pollEnded = new AbortController();
        void clock.sleep(OVERDUE_MS, pollEnded.signal).then(() => {
            if (!pollEnded.signal.aborted) {
                logger.log("warn", "store.overdue", { table: name, ms: OVERDUE_MS });
            }
        });
        try {
            return await poll;
        }
        finally {
            pollEnded.abort(WAIT_OVER);
            const elapsedMs = clock.now() - startedAt;
            if (elapsedMs >= OVERDUE_MS) {
                logger.log("info", "store.overdueEnded", { table: name, ms: Math.round(elapsedMs) });
            }
        }
    }

    private recordFailure(detail: string): void {
        const { clock, logger, name } = this.options;
        if (this.unavailableSince === undefined) {
            const ageMs = this.answerAgeMs;
            logger.log("warn", "store.lost", {
                table: name,
                ageMs: ageMs === undefined ? undefined : Math.round(ageMs),
                detail,
            });
            this.unavailableSince = clock.now();
        }
    }

    /** Returns the time since the previous response. */
    private recordAnswer(nowMs: number): Millis | undefined {
        const { clock, logger, name } = this.options;
        const silenceMs = this.answerAgeMs;
        if (this.unavailableSince !== undefined) {
            logger.log("info", "store.regained", { table: name, ms: Math.round(clock.now() - this.unavailableSince) });
            this.unavailableSince = undefined;
        }
        this.answeredAt = clock.now();
        this.storeClockOffsetMs = nowMs - this.answeredAt;
        return silenceMs;
    }
}
