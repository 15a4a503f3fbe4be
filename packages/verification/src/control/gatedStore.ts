import type { RowStore } from "@persimmonpitch/control/rowStore.js";
import type { CommitError, Committed, RowTransaction } from "@persimmonpitch/workload/storedRow.js";
import { Result } from "true-myth";

/** What becomes of a commit: its answer arrives, is lost, or is lost while the commit takes effect later. */
export type CommitFate = "answered" | "lost" | "later";

/** A store whose commits wait until the replay says what becomes of them. */
export class GatedStore implements RowStore {
    /** The last commit that takes effect later. */
    late: RowTransaction | undefined;
    private waiting: ((fate: CommitFate) => void)[] = [];

    constructor(private readonly store: RowStore) {}

    async commit(transaction: RowTransaction): Promise<Result<Committed, CommitError>> {
        const fate = await new Promise<CommitFate>(resolve => this.waiting.push(resolve));
        if (fate === "answered") {
            return this.store.commit(transaction);
        }
        if (fate === "lost") {
            await this.store.commit(transaction);
        }
        else {
            this.late = transaction;
        }
        return Result.err({ kind: "unclear", detail: "The answer was lost." });
    }

    scan(...args: Parameters<RowStore["scan"]>): ReturnType<RowStore["scan"]> {
        return this.store.scan(...args);
    }

    follow(...args: Parameters<RowStore["follow"]>): ReturnType<RowStore["follow"]> {
        return this.store.follow(...args);
    }

    /** Decides on the commits that wait. */
    release(fate: CommitFate): void {
        const { waiting } = this;
        this.waiting = [];
        waiting.forEach(resolve => {
            resolve(fate);
        });
    }
}
