import type { Millis } from "@persimmonpitch/clock/clock.js";

/** The lease that is given each time: longer than a partition of some seconds, so that a short one costs no work. */
export const LEASE_MS: Millis = 8_000;

/** Orders and deadlines are given only this long after the last successful renewal of the term was sent. */
export const GRANT_VALIDITY_MS: Millis = 3_000;

/** An executor's clock may be 2% slow. */
const SLOWEST_CLOCK = 0.98;
const SLACK_MS: Millis = 200;

/** Time on the executor's clock, however slow it is, when a renewal of the term that is sent now has lost its force. */
export const authorityEnd = (
    sentAt: Millis,
    clock: { readonly readingMs: number; readonly at: Millis; },
): number => Math.floor(clock.readingMs + (sentAt + GRANT_VALIDITY_MS - clock.at) * SLOWEST_CLOCK);

/** Time on our clock after which a deadline on the executor's clock has certainly passed. */
export const lapsedAt = (deadlineMs: number, clock: { readonly readingMs: number; readonly at: Millis; }): Millis =>
    clock.at + Math.max(0, deadlineMs - clock.readingMs) / SLOWEST_CLOCK + SLACK_MS;

/** Time after which a lease that an earlier controller gave has certainly lapsed. */
export const inheritedLapsedAt = (tookRoleAt: Millis, maxLeaseMs: Millis): Millis =>
    tookRoleAt + GRANT_VALIDITY_MS + maxLeaseMs / SLOWEST_CLOCK + SLACK_MS;
