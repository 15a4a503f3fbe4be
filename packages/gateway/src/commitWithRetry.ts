import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { RowStore } from "@persimmonpitch/control/rowStore.js";
import type { RowTransaction, StoredRow } from "@persimmonpitch/workload/storedRow.js";
import { err, ok } from "true-myth/result";
import type { Result } from "true-myth/result";
import type { GatewayError } from "./requests.js";

/** What became of a transaction whose result is known. */
export type CommitOutcome =
    | { readonly kind: "committed"; readonly version: number; }
    /** A condition did not hold; `rows` are the current rows of all conditions. */
    | { readonly kind: "conflict"; readonly rows: readonly StoredRow[]; };

/**
 * How long a commit with an unclear result is retried, at least once, before the request fails with `unclear`. Requesters
 * retry with the same id, so an early failure serves them better than a late one that leaves no time for a retry.
 */
const UNCLEAR_COMMIT_RETRY_MS: Millis = 300;
const UNCLEAR_COMMIT_RETRY_INTERVAL_MS: Millis = 100;
/**
 * A commit that has taken longer is not repeated, because its process was paused: the requester may have cancelled the
 * job meanwhile, and the tombstone is removed some time later.
 */
const MAX_COMMIT_AGE_MS: Millis = 10_000;

/** Commits a transaction and repeats it while its result is unclear. */
export const commitWithRetry = async (
    store: RowStore,
    clock: Clock,
    transaction: RowTransaction,
): Promise<Result<CommitOutcome, GatewayError>> => {
    const startedAt = clock.now();
    for (let isPossiblyCommitted = false, attempt = 1;; attempt += 1) {
        const commitResult = await store.commit(transaction);
        if (commitResult.isOk) {
            return ok({ kind: "committed", version: commitResult.value.version });
        }
        switch (commitResult.error.kind) {
            case "conflict":
                return ok({ kind: "conflict", rows: commitResult.error.rows });
            case "rejected":
                return err("rejected");
            case "unavailable":
                if (!isPossiblyCommitted) {
                    return err("unavailable");
                }
                break;
            case "unclear":
                isPossiblyCommitted = true;
                break;
            default: {
                const unhandledError: never = commitResult.error;
                return unhandledError;
            }
        }
        const ageMs = clock.now() - startedAt;
        if (ageMs >= MAX_COMMIT_AGE_MS || (ageMs >= UNCLEAR_COMMIT_RETRY_MS && attempt > 1)) {
            return err("unclear");
        }
        await clock.sleep(UNCLEAR_COMMIT_RETRY_INTERVAL_MS);
    }
};
