/** Stops requests to a failing endpoint and probes it with one request at a time. */
import type { Millis } from "@persimmonpitch/clock/clock.js";

export interface CircuitBreakerOptions {
    /** Consecutive failures that open the breaker. */
    readonly failureThreshold: number;
    /** Duration of the first open period; it doubles after each failed probe. */
    readonly initialOpenMs: Millis;
    readonly maxOpenMs: Millis;
    /** A probe without a recorded outcome is abandoned after this time, so that the breaker cannot stay half open. */
    readonly probeTimeoutMs: Millis;
}

export const DEFAULT_CIRCUIT_BREAKER_OPTIONS: CircuitBreakerOptions = {
    failureThreshold: 5,
    initialOpenMs: 1_000,
    maxOpenMs: 30_000,
    probeTimeoutMs: 30_000,
};

type BreakerState =
    | { readonly kind: "closed"; readonly consecutiveFailures: number; }
    | { readonly kind: "open"; readonly openUntil: Millis; readonly openMs: Millis; }
    | { readonly kind: "halfOpen"; readonly probeStartedAt: Millis; readonly openMs: Millis; };

const CLOSED: BreakerState = { kind: "closed", consecutiveFailures: 0 };

/** Circuit breaker of one endpoint. */
export class CircuitBreaker {
    private state: BreakerState = CLOSED;

    constructor(private readonly options: CircuitBreakerOptions = DEFAULT_CIRCUIT_BREAKER_OPTIONS) {}

    /** State at `now`: `open` for the open period, then `halfOpen` until a probe ends. */
    stateAt(now: Millis): BreakerState["kind"] {
        return this.state.kind === "open" && now >= this.state.openUntil ? "halfOpen" : this.state.kind;
    }

    /** Whether a request may be sent; in the half-open state, only one probe at a time. */
    allowsRequest(now: Millis): boolean {
        const { state } = this;
        switch (state.kind) {
            case "closed":
                return true;
            case "open":
                return now >= state.openUntil;
            case "halfOpen":
                return now - state.probeStartedAt >= this.options.probeTimeoutMs;
            default:
                return state satisfies never;
        }
    }

    /** Records that a request was sent; the first one after an open period is the probe. */
    recordSent(now: Millis): void {
        if (this.state.kind !== "closed" && this.allowsRequest(now)) {
            this.state = { kind: "halfOpen", probeStartedAt: now, openMs: this.state.openMs };
        }
    }

    /** Records an answer. Answers to requests sent before the breaker opened do not close it. */
    recordSuccess(): void {
        if (this.state.kind !== "open") {
            this.state = CLOSED;
        }
    }

    recordFailure(now: Millis): void {
        const { state } = this;
        if (state.kind === "closed") {
            const consecutiveFailures = state.consecutiveFailures + 1;
            this.state = consecutiveFailures < this.options.failureThreshold
                ? { kind: "closed", consecutiveFailures }
                : { kind: "open", openUntil: now + this.options.initialOpenMs, openMs: this.options.initialOpenMs };
        }
        if (state.kind === "halfOpen") {
            const openMs = Math.min(this.options.maxOpenMs, state.openMs * 2);
            this.state = { kind: "open", openUntil: now + openMs, openMs };
        }
    }

    /** Records a probe that ended without evidence of health, such as a busy refusal; the next request probes again. */
    recordInconclusiveProbe(now: Millis): void {
        if (this.state.kind === "halfOpen") {
            this.state = { kind: "open", openUntil: now, openMs: this.state.openMs };
        }
    }
}
