/** Share of a retry that each call earns, so retries add at most 10% of load in the long run. */
const RETRIES_PER_CALL = 0.1;

/** Retries that may be saved up, so that a client with few calls can retry at all. */
const MAX_SAVED_RETRIES = 10;

/** Bounds retries by the number of calls, so that an outage does not multiply the load. */
export class RetryBudget {
    private saved = MAX_SAVED_RETRIES;

    /** Counts a call that is not a retry. */
    earn(): void {
        this.saved = Math.min(MAX_SAVED_RETRIES, this.saved + RETRIES_PER_CALL);
    }

    /** Takes one retry; `false` when the budget is spent. */
    tryTake(): boolean {
        if (this.saved < 1) {
            return false;
        }
        this.saved -= 1;
        return true;
    }
}
