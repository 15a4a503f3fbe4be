import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { DirectRecord } from "./directRecord.js";
import { DIRECT_KINDS } from "./directTrace.js";

/** Part of the timeout within which a refusal counts as early. */
const EARLY_SHARE = 0.5;

const timeoutOf = (record: DirectRecord): Millis => DIRECT_KINDS[record.arrival.kind].timeoutMs;

/** Whether the client got its answer within its deadline. */
export const isInTime = (record: DirectRecord): boolean =>
    record.outcome === "answered" && record.elapsedMs <= timeoutOf(record);

/** Whether the client was refused, truthfully, with time left to ask elsewhere. */
export const isToldEarly = (record: DirectRecord): boolean =>
    record.outcome === "refused" && record.executions === 0 && record.elapsedMs <= timeoutOf(record) * EARLY_SHARE;

/** Adds up one figure of all records. */
export const sumOf = (records: readonly DirectRecord[], valueOf: (record: DirectRecord) => number): number =>
    records.reduce((sum, record) => sum + valueOf(record), 0);

/** Work of the answers that came in time. */
export const usefulMs = (records: readonly DirectRecord[]): Millis =>
    sumOf(records.filter(isInTime), record => record.usefulMs);
