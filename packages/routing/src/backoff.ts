/** Delays between attempts: exponential with full jitter, so that callers which failed together spread out. */
import type { Millis } from "@persimmonpitch/clock/clock.js";

/** Options of the backoff. */
export interface BackoffOptions {
    readonly baseMs: Millis;
    readonly capMs: Millis;
}

export const DEFAULT_BACKOFF_OPTIONS: BackoffOptions = { baseMs: 10, capMs: 1_000 };

/** The delay before the retry that follows `failures` failed attempts; `random` is in [0, 1). */
export const backoffMs = (
    failures: number,
    random: number,
    options: BackoffOptions = DEFAULT_BACKOFF_OPTIONS,
): Millis => random * Math.min(options.capMs, options.baseMs * 2 ** Math.max(0, failures - 1));
