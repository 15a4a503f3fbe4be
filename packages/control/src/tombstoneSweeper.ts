import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { isAborted } from "@persimmonpitch/clock/isAborted.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { Timings } from "@persimmonpitch/workload/timings.js";
import type { Replica } from "./replica.js";
import { rowKeys, tombstoneKey, tombstoneKeys } from "./rows.js";
import type { RowStore } from "./rowStore.js";

const SWEEP_INTERVAL_MS: Millis = 1_000;
/** Delay after a sweep that failed, so that a store that is slow or busy is left to callers. */
const RETRY_MS: Millis = 10_000;
/** The store accepts 100 entries per call; each row takes two, the condition and the removal. */
const MAX_ROWS_PER_SWEEP = 45;
/** Longer than any write that takes effect late and any repeat of a submission. */
const MIN_RETENTION_MS: Millis = 60_000;

export interface TombstoneSweeperOptions {
    readonly store: RowStore;
    readonly replica: Replica;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly timings: Timings;
    /** Version of the role row. A removal fails once another process has taken the role. */
    readonly roleVersion: number;
    readonly storeClockOffsetMs: () => Millis;
}

/** Removes tombstones once no write of their jobs can be under way any more. */
export class TombstoneSweeper {
    constructor(private readonly options: TombstoneSweeperOptions) {}

    /** Runs until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock } = this.options;
        for (let delay = SWEEP_INTERVAL_MS; !isAborted(signal);) {
            await clock.sleep(delay, signal);
            if (!isAborted(signal)) {
                delay = await this.sweep() ? SWEEP_INTERVAL_MS : RETRY_MS;
            }
        }
    }

    /** Removes some expired tombstones. Returns whether the store accepted the call, if there was one. */
    private async sweep(): Promise<boolean> {
        const { store, replica, logger, roleVersion } = this.options;
        const expired = this.findExpired().slice(0, MAX_ROWS_PER_SWEEP);
        if (expired.length === 0) {
            return true;
        }
        // Each removal names the version of its row, so that one that takes effect late spares a newer tombstone.
        const outcome = await store.commit({
            expected: [{ key: rowKeys.role, version: roleVersion }, ...expired],
            deletes: expired.map(({ key }) => key),
        });
        if (outcome.isOk) {
            logger.log("info", "tombstones.removed", {
                removed: expired.length,
                known: replica.tombstones.size,
            });
            return true;
        }
        logger.log("info", "tombstones.removalFailed", { rows: expired.length, kind: outcome.error.kind });
        return false;
    }

    private findExpired(): readonly { readonly key: string; readonly version: number; }[] {
        const { replica, clock, timings, storeClockOffsetMs } = this.options;
        const now = clock.now() + storeClockOffsetMs();
        const retentionMs = Math.max(timings.statusRetentionMs, MIN_RETENTION_MS);
        return [...replica.tombstones]
            // A time in the future comes from a clock of the store that was set back.
            .filter(([, { value }]) => Math.abs(now - value.at) > retentionMs)
            .map(([name, { version }]) => ({ key: tombstoneKey(name), version }))
            .filter(({ key }) => !this.isJobOpen(key));
    }

    /** Whether the job of a tombstone is stored and its cancellation is not durable yet. */
    private isJobOpen(key: string): boolean {
        const { replica } = this.options;
        const [, jobId = ""] = key.split("/");
        const job = replica.jobs.get(jobId)?.value;
        const outcome = replica.progress.get(jobId)?.value.outcome ?? "open";
        return job !== undefined && tombstoneKeys(jobId, job).includes(key) && outcome === "open";
    }
}
