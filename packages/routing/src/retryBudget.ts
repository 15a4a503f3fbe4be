/** Limits retries to a share of the requests, so that retries cannot multiply an overload. */
import type { Millis } from "@persimmonpitch/clock/clock.js";

/** Options of the budget. */
export interface RetryBudgetOptions {
    /** Retries allowed for each request. */
    readonly ratio: number;
    /** Retries allowed for each second without regard to requests, so that a quiet service can retry at all. */
    readonly floorPerSecond: number;
    /** Retries allowed from the start: an entry that has just started has counted no requests yet. */
    readonly initial: number;
    /** Most retries that can be saved up. */
    readonly capacity: number;
}

export const DEFAULT_RETRY_BUDGET_OPTIONS: RetryBudgetOptions = {
    ratio: 0.1,
    floorPerSecond: 1,
    initial: 10,
    capacity: 50,
};

/** A token bucket that requests and time fill and retries empty. */
export class RetryBudget {
    private tokens: number;
    private filledAt: Millis;

    constructor(now: Millis, private readonly options: RetryBudgetOptions = DEFAULT_RETRY_BUDGET_OPTIONS) {
        this.tokens = options.initial;
        this.filledAt = now;
    }

    /** Counts a first attempt. */
    recordRequest(): void {
        this.add(this.options.ratio);
    }

    /** Takes one retry from the budget; false if none is left. */
    tryRetry(now: Millis): boolean {
        this.add(Math.max(0, now - this.filledAt) / 1_000 * this.options.floorPerSecond);
        this.filledAt = Math.max(now, this.filledAt);
        if (this.tokens < 1) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }

    private add(tokens: number): void {
        this.tokens = Math.min(this.options.capacity, this.tokens + tokens);
    }
}
