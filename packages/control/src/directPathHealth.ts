import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";

/** Delay after a failed call before the next probe of the store. */
const PROBE_INTERVAL_MS: Millis = 1_000;

/** Health of this process's direct path to the store, shared by all tables. */
export class DirectPathHealth {
    private answeredAt: Millis | undefined;
    /** Time of the next allowed probe; `undefined` if the last call was answered. */
    private nextProbeAt: Millis | undefined;

    constructor(private readonly clock: Clock) {}

    /** Time since the store last answered a direct call; `undefined` before the first answer. */
    get answerAgeMs(): Millis | undefined {
        return this.answeredAt === undefined ? undefined : this.clock.now() - this.answeredAt;
    }

    /** Whether calls should be routed through a peer. */
    get isSuspect(): boolean {
        return this.nextProbeAt !== undefined;
    }

    /** Returns whether the caller may probe the store. Allows at most one probe per `PROBE_INTERVAL_MS`. */
    tryStartProbe(): boolean {
        const isDue = this.nextProbeAt !== undefined && this.clock.now() >= this.nextProbeAt;
        if (isDue) {
            this.nextProbeAt = this.clock.now() + PROBE_INTERVAL_MS;
        }
        return isDue;
    }

    recordAnswer(): void {
        this.answeredAt = this.clock.now();
        this.nextProbeAt = undefined;
    }

    recordFailure(): void {
        this.nextProbeAt = this.clock.now() + PROBE_INTERVAL_MS;
    }
}
