import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";

/** Events within this delay share one pass. */
const PASS_DELAY_MS: Millis = 5;
/** Interval of passes without events, which handle due times, stalled runs and lapsed leases. */
const IDLE_PASS_MS: Millis = 250;

/** How soon a pass is needed. */
export type PassUrgency = "urgent" | "normal";

/**
 * Part of the time that passes may take, by the urgency of what they are for. The rest is for requesters and agents,
 * who share the event loop with the passes.
 */
const MAX_PASS_SHARE: Readonly<Record<PassUrgency, number>> = { urgent: 0.5, normal: 0.25 };

/** Passes since the last report, in milliseconds where not said otherwise. */
export interface PassLoad {
    /** Number of passes. */
    readonly passes: number;
    readonly totalMs: Millis;
    readonly longestMs: Millis;
    /** How late the latest pass began, because the event loop was busy with something else. */
    readonly longestDelayMs: Millis;
}

const NO_LOAD: PassLoad = { passes: 0, totalMs: 0, longestMs: 0, longestDelayMs: 0 };

/** Decides when the next pass runs, so that passes that take long run less often. */
export class PassSchedule {
    private readonly wake = new WakeSignal();
    private readonly requestedAt: { [K in PassUrgency]: Millis | undefined; } = {
        urgent: undefined,
        normal: undefined,
    };
    private load = NO_LOAD;
    private startedAt: Millis;
    private endedAt: Millis;

    constructor(private readonly clock: Clock) {
        this.startedAt = clock.now();
        this.endedAt = this.startedAt;
    }

    /** Asks for a pass after an event that may change its decisions. */
    request(urgency: PassUrgency): void {
        this.requestedAt[urgency] ??= this.clock.now();
        this.wake.wake();
    }

    /** Called when a pass begins: what is requested from now on is for the next one. */
    begin(): void {
        const delayMs = this.clock.now() - this.dueAt();
        this.requestedAt.urgent = undefined;
        this.requestedAt.normal = undefined;
        this.startedAt = this.clock.now();
        this.load = { ...this.load, longestDelayMs: Math.max(this.load.longestDelayMs, delayMs) };
    }

    /** Called when a pass has ended. */
    end(): void {
        this.endedAt = this.clock.now();
        const { passes, totalMs, longestMs } = this.load;
        const passMs = this.endedAt - this.startedAt;
        this.load = {
            ...this.load,
            passes: passes + 1,
            totalMs: totalMs + passMs,
            longestMs: Math.max(longestMs, passMs),
        };
    }

    /** Returns the load since the last call. */
    takeLoad(): PassLoad {
        const { load } = this;
        this.load = NO_LOAD;
        return load;
    }

    /** Waits until the next pass is due, or until `signal` aborts. */
    async waitUntilDue(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const waitMs = this.dueAt() - this.clock.now();
            if (waitMs <= 0) {
                return;
            }
            await this.wake.wait(this.clock, waitMs, signal);
        }
    }

    private dueAt(): Millis {
        const { urgent, normal } = this.requestedAt;
        return Math.min(
            this.earliest("urgent", urgent ?? Infinity),
            this.earliest("normal", normal ?? this.endedAt + IDLE_PASS_MS),
        );
    }

    private earliest(urgency: PassUrgency, requestedAt: Millis): Millis {
        const passMs = this.endedAt - this.startedAt;
        const pauseMs = passMs * (1 / MAX_PASS_SHARE[urgency] - 1);
        return Math.max(requestedAt + PASS_DELAY_MS, this.endedAt + pauseMs);
    }
}
