import type { Millis } from "@persimmonpitch/clock/clock.js";
import type {
    CommitError,
    Committed,
    ReadError,
    RowChanges,
    RowPage,
    RowRange,
    RowTransaction,
} from "@persimmonpitch/workload/storedRow.js";
import type { Result } from "true-myth";

/** Client for one table of the store. */
export interface RowStore {
    commit(transaction: RowTransaction): Promise<Result<Committed, CommitError>>;
    scan(range: RowRange): Promise<Result<RowPage, ReadError>>;
    /** Waits up to `waitMs` for changes after the version `after`. */
    follow(after: number, waitMs: Millis, signal?: AbortSignal): Promise<Result<RowChanges, ReadError>>;
}
