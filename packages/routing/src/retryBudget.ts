/** Limits retries to a fraction of the requests, so that retries cannot amplify an overload. */
import type { Millis } from "@persimmonpitch/clock/clock.js";

export interface RetryBudgetOptions {
    /** Tokens added for each first attempt; a retry costs one token. */
    readonly retryRatio: number;
    /** Tokens added per second regardless of requests, so that a service with little traffic can still retry. */
    readonly minRetriesPerSecond: number;
    /** Tokens at the start, because an entry that has just started has counted no requests yet. */
    readonly initialTokens: number;
    /** Size of the token bucket, which bounds a burst of retries. */
    readonly maxTokens: number;
}

export const DEFAULT_RETRY_BUDGET_OPTIONS: RetryBudgetOptions = {
    retryRatio: 0.1,
    minRetriesPerSecond: 1,
    initialTokens: 10,
    maxTokens: 50,
};

/** Token bucket that requests and elapsed time refill and retries consume. */
export class RetryBudget {
    private tokens: number;
    private refilledAt: Millis;

    constructor(now: Millis, private readonly options: RetryBudgetOptions = DEFAULT_RETRY_BUDGET_OPTIONS) {
        this.tokens = options.initialTokens;
        this.refilledAt = now;
    }

    /** Refills the bucket for a first attempt; retries must not be counted. */
    recordRequest(): void {
        this.addTokens(this.options.retryRatio);
    }

    /** Consumes a token for one retry; returns false if the budget is exhausted. */
    tryAcquireRetry(now: Millis): boolean {
        this.addTokens(Math.max(0, now - this.refilledAt) / 1_000 * this.options.minRetriesPerSecond);
        this.refilledAt = Math.max(now, this.refilledAt);
        if (this.tokens < 1) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }

    private addTokens(tokens: number): void {
        this.tokens = Math.min(this.options.maxTokens, this.tokens + tokens);
    }
}
