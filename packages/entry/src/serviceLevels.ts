import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { BurnAnswer } from "@persimmonpitch/schema/apiAnswers.js";
import type { WorkClass } from "@persimmonpitch/schema/job.js";

/** Counts good and bad answers for the report on service-level burn. */
export interface ServiceLevels {
    record(workClass: WorkClass, durationMs: Millis, isGood: boolean): void;
    report(clock: Clock): BurnAnswer;
}

export const createServiceLevels = (): ServiceLevels => ({
    record: () => undefined,
    report: () => ({ objectives: [] }),
});
