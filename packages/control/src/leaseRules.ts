import type { Millis } from "@persimmonpitch/clock/clock.js";

/** Duration of each lease extension. Long enough that a network partition of a few seconds loses no work. */
export const EXECUTOR_LEASE_MS: Millis = 8_000;

/** Orders and deadlines are issued only this long after the last successful term renewal was sent. */
export const CONTROLLER_LEASE_MS: Millis = 3_000;

/** Executor clocks may run up to 2% slow. */
const MIN_CLOCK_RATE = 0.98;
const LAPSE_MARGIN_MS: Millis = 200;

/** Returns when a term renewal sent at `sentAt` expires on the executor's clock, assuming the slowest allowed clock. */
export const controllerLeaseEnd = (
    sentAt: Millis,
    clock: { readonly readingMs: number; readonly at: Millis; },
): number => Math.floor(clock.readingMs + (sentAt + CONTROLLER_LEASE_MS - clock.at) * MIN_CLOCK_RATE);

/** Returns the local time after which a deadline on the executor's clock has certainly passed. */
export const leaseLapsedAt = (
    deadlineMs: number,
    clock: { readonly readingMs: number; readonly at: Millis; },
): Millis => clock.at + Math.max(0, deadlineMs - clock.readingMs) / MIN_CLOCK_RATE + LAPSE_MARGIN_MS;

/** Returns the time after which a lease granted by an earlier controller has certainly lapsed. */
export const inheritedLeaseLapsedAt = (roleTakenAt: Millis, maxLeaseMs: Millis): Millis =>
    roleTakenAt + CONTROLLER_LEASE_MS + maxLeaseMs / MIN_CLOCK_RATE + LAPSE_MARGIN_MS;
