import type { Millis } from "@persimmonpitch/clock/clock.js";

const MIN_SECONDS = 1;
const MAX_SECONDS = 10;
/** Share of the wait after which a requester tries again, by priority; the last entry applies to all further ones. */
const WAIT_SHARE_BY_PRIORITY = [0.1, 0.25, 0.5] as const;
/** The time is spread by this share, so that refused requesters do not return together. */
const JITTER_SHARE = 0.5;

/** Whole seconds after which a refused requester may try again; `random` is in [0, 1). */
export const retryAfterSeconds = (waitMs: Millis, priority: number, random: number): number => {
    const share = WAIT_SHARE_BY_PRIORITY[Math.min(priority, WAIT_SHARE_BY_PRIORITY.length - 1)] ?? 1;
    const seconds = waitMs / 1_000 * share * (1 + JITTER_SHARE * (2 * random - 1));
    return Math.min(MAX_SECONDS, Math.max(MIN_SECONDS, Math.ceil(seconds)));
};
