/** Fraction of a retry that each request adds to the balance: retries add at most 10% of load in the long run. */
const RETRIES_PER_REQUEST = 0.1;

/** Maximum and initial balance, in retries, so that a client with few requests can retry at all. */
const MAX_BALANCE = 10;

/** Limits retries to a fraction of the requests, so that retries do not multiply the load during an outage. */
export class RetryBudget {
    private balance = MAX_BALANCE;

    /** Credits the budget for a request that is not itself a retry. */
    deposit(): void {
        this.balance = Math.min(MAX_BALANCE, this.balance + RETRIES_PER_REQUEST);
    }

    /** Withdraws one retry, or returns `false` if the budget is exhausted. */
    tryWithdraw(): boolean {
        if (this.balance < 1) {
            return false;
        }
        this.balance -= 1;
        return true;
    }
}
