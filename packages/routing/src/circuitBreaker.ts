/** Stops requests to an endpoint that fails, and probes it with one request at a time. */
import type { Millis } from "@persimmonpitch/clock/clock.js";

/** Options of the breaker. */
export interface CircuitBreakerOptions {
    /** Failures in a row that open the breaker. */
    readonly failureThreshold: number;
    /** First time open; it doubles with every failed probe. */
    readonly openMs: Millis;
    readonly maxOpenMs: Millis;
    /** A probe whose end was never reported is given up after this time, so that the breaker cannot stay half open. */
    readonly probeTimeoutMs: Millis;
}

export const DEFAULT_CIRCUIT_BREAKER_OPTIONS: CircuitBreakerOptions = {
    failureThreshold: 5,
    openMs: 1_000,
    maxOpenMs: 30_000,
    probeTimeoutMs: 30_000,
};

type BreakerState =
    | { readonly kind: "closed"; readonly failures: number; }
    | { readonly kind: "open"; readonly until: Millis; readonly openMs: Millis; }
    | { readonly kind: "halfOpen"; readonly probeSince: Millis; readonly openMs: Millis; };

const CLOSED: BreakerState = { kind: "closed", failures: 0 };

/** The breaker of one endpoint. */
export class CircuitBreaker {
    private state: BreakerState = CLOSED;

    constructor(private readonly options: CircuitBreakerOptions = DEFAULT_CIRCUIT_BREAKER_OPTIONS) {}

    /** `open` until the wait is over, then `halfOpen` until a probe ends. */
    stateAt(now: Millis): BreakerState["kind"] {
        return this.state.kind === "open" && now >= this.state.until ? "halfOpen" : this.state.kind;
    }

    /** Whether a request may be sent. */
    allows(now: Millis): boolean {
        const { state } = this;
        switch (state.kind) {
            case "closed":
                return true;
            case "open":
                return now >= state.until;
            case "halfOpen":
                return now - state.probeSince >= this.options.probeTimeoutMs;
            default:
                return state satisfies never;
        }
    }

    /** Counts a request that is sent; after an open period it is the probe. */
    recordSent(now: Millis): void {
        if (this.state.kind !== "closed" && this.allows(now)) {
            this.state = { kind: "halfOpen", probeSince: now, openMs: this.state.openMs };
        }
    }

    /** Counts an answer. Answers to requests sent before the breaker opened do not close it. */
    recordSuccess(): void {
        if (this.state.kind !== "open") {
            this.state = CLOSED;
        }
    }

    /** Counts a failure. */
    recordFailure(now: Millis): void {
        const { state } = this;
        if (state.kind === "closed") {
            const failures = state.failures + 1;
            this.state = failures < this.options.failureThreshold
                ? { kind: "closed", failures }
                : { kind: "open", until: now + this.options.openMs, openMs: this.options.openMs };
        }
        if (state.kind === "halfOpen") {
            const openMs = Math.min(this.options.maxOpenMs, state.openMs * 2);
            this.state = { kind: "open", until: now + openMs, openMs };
        }
    }

    /** Gives up a probe that ended without saying anything about health, such as a refusal as busy. */
    recordNoVerdict(now: Millis): void {
        if (this.state.kind === "halfOpen") {
            this.state = { kind: "open", until: now, openMs: this.state.openMs };
        }
    }
}
