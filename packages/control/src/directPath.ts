import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";

/** After a failed call, the next one that finds out whether the store answers again waits this long. */
const PROBE_MS: Millis = 1_000;

/** What this process has seen of its own path to the store; all tables share it. */
export class DirectPath {
    private answeredAt: Millis | undefined;
    /** When the next probe may be made; undefined while the last call was answered. */
    private probeAt: Millis | undefined;

    constructor(private readonly clock: Clock) {}

    /** Time since the store last answered a call of this process itself; undefined before its first answer. */
    get answerAgeMs(): Millis | undefined {
        return this.answeredAt === undefined ? undefined : this.clock.now() - this.answeredAt;
    }

    /** Whether calls should go another way. */
    get isSuspect(): boolean {
        return this.probeAt !== undefined;
    }

    /** Whether a call may find out if the store answers again; at most one call in `PROBE_MS` does. */
    takeProbe(): boolean {
        const isDue = this.probeAt !== undefined && this.clock.now() >= this.probeAt;
        if (isDue) {
            this.probeAt = this.clock.now() + PROBE_MS;
        }
        return isDue;
    }

    noteAnswer(): void {
        this.answeredAt = this.clock.now();
        this.probeAt = undefined;
    }

    noteFailure(): void {
        this.probeAt = this.clock.now() + PROBE_MS;
    }
}
