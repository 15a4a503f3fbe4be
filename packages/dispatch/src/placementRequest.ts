import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { ExecutorSets } from "./bestFit.js";
import type { PassState } from "./passState.js";
import type { RankedUnit } from "./unitOrder.js";

/** A unit to place, with the estimated run time of one of its tasks and the executors that it can use. */
export interface PlacementRequest {
    readonly ranked: RankedUnit;
    /** Key of the failed fits that apply to the unit; undefined if the unit avoids executors. */
    readonly fitKey: string | undefined;
    readonly durationMs: Millis;
    readonly sets: ExecutorSets;
}

/** Whether a request with the same key that needs no more tasks and no more time has failed in this pass. */
export const hasFailedBefore = (
    { failedFits }: PassState,
    fitKey: string | undefined,
    count: number,
    durationMs: Millis,
): boolean => {
    const failedFit = fitKey === undefined ? undefined : failedFits.get(fitKey);
    return failedFit !== undefined && count >= failedFit.count && durationMs >= failedFit.durationMs;
};
