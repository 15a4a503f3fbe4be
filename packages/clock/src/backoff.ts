import type { Millis } from "./clock.js";

/** Bounds of a backoff. */
export interface BackoffOptions {
    readonly baseMs: Millis;
    readonly maxMs: Millis;
}

/** Full jitter: a uniform delay below a bound that doubles with each failure, so that retries do not line up. */
export const backoffDelay = ({ baseMs, maxMs }: BackoffOptions, failures: number, random: () => number): Millis =>
    random() * Math.min(maxMs, baseMs * 2 ** Math.min(failures, 30));
