import type { Millis } from "@persimmonpitch/clock/clock.js";

/** Duration of an agent's lease, which covers all its tasks. */
export const AGENT_LEASE_MS: Millis = 15_000;

/** Factor by which an observer extends the lease of another VM, because clocks may run at different speeds. */
export const CLOCK_DRIFT_FACTOR = 1.25;
