import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { DirectArrival } from "./directTrace.js";

/** What the client was told. */
export type DirectClientOutcome = "answered" | "refused" | "failed";

/** What happened to one request in a replay. */
export interface DirectRecord {
    readonly arrival: DirectArrival;
    attempts: number;
    busyRefusals: number;
    bytesBetweenDataCentres: number;
    executions: number;
    usefulMs: Millis;
    outcome?: DirectClientOutcome;
    /** Time from sending to the outcome, as the client sees it. */
    elapsedMs: Millis;
}

/** The record of a request that has not been sent yet. */
export const createRecord = (arrival: DirectArrival): DirectRecord => ({
    arrival,
    attempts: 0,
    busyRefusals: 0,
    bytesBetweenDataCentres: 0,
    executions: 0,
    usefulMs: 0,
    elapsedMs: Infinity,
});
