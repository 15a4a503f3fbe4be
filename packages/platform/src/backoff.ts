import type { Millis } from "@persimmonpitch/clock/clock.js";

/** Limits of the delays between retries. */
export interface BackoffOptions {
    readonly firstMs: Millis;
    readonly maxMs: Millis;
}

/** Full jitter: a random delay up to a limit that doubles with each retry, so clients do not retry together. */
export const fullJitter = (retry: number, { firstMs, maxMs }: BackoffOptions, random: () => number): Millis =>
    random() * Math.min(maxMs, firstMs * 2 ** retry);
