import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { PackingContext } from "./bestFit.js";
import { addTo, countedDemand } from "./demand.js";
import type { DispatchOptions } from "./dispatchOptions.js";
import type { DispatchDecision, DispatchView, StopReason } from "./dispatchView.js";
import type { ExecutorResources } from "./executorResources.js";
import type { OccurrenceForecast } from "./occurrenceForecasts.js";
import type { Releases } from "./reservations.js";
import { type RunGroup, stopDecisions } from "./runGroups.js";
import type { RunTimes } from "./runTimes.js";
import type { RankedUnit } from "./unitOrder.js";
import type { StopCost } from "./victims.js";

/** A request that failed: its number of tasks and their run time. */
export interface FailedFit {
    readonly count: number;
    readonly durationMs: Millis;
}

/**
 * How a ready unit waits if not all of its tasks started: it has claimed resources that are being released, runs are
 * stopped for it, a future fit is reserved for it, or none of these.
 */
export type WaitKind = "claimed" | "stopping" | "reserved" | "unplaced";

/** A ready unit of which not all tasks started. */
export interface WaitingUnit {
    readonly ranked: RankedUnit;
    readonly kind: WaitKind;
}

/** Input and intermediate results of a pass, and its decisions so far. */
export interface PassState {
    readonly view: DispatchView;
    readonly options: DispatchOptions;
    readonly executors: readonly ExecutorResources[];
    readonly groups: readonly RunGroup[];
    readonly groupsByExecutor: ReadonlyMap<number, readonly RunGroup[]>;
    readonly runTimes: RunTimes;
    readonly forecasts: ReadonlyMap<string, OccurrenceForecast>;
    /** Ids of the occurrences within the guarantees of their teams. */
    readonly guaranteed: ReadonlySet<string>;
    readonly releases: Releases;
    readonly packing: PackingContext;
    readonly stopped: Set<RunGroup>;
    readonly stopCosts: Map<RunGroup, StopCost>;
    /** Requests that failed. Free resources only shrink until the next stop, so requests at least as large fail too. */
    readonly failedFits: Map<string, FailedFit>;
    reservationCount: number;
    searchCount: number;
    /** Ids of the steps that the pass had no search left for, in order of rank. */
    readonly skippedSearches: string[];
    readonly decisions: DispatchDecision[];
    /** In order of rank. */
    readonly waiting: WaitingUnit[];
}

/** Stops all members of a group and counts their resources as being released. */
export const stopGroup = (
    { executors, stopped, failedFits, decisions }: PassState,
    group: RunGroup,
    reason: StopReason,
): void => {
    if (group.isStopping || stopped.has(group)) {
        return;
    }
    stopped.add(group);
    failedFits.clear();
    decisions.push(...stopDecisions(group, reason));
    for (const { executorIndex } of group.members) {
        const executor = executors[executorIndex];
        if (executor !== undefined) {
            executor.onChanged();
            addTo(executor.releasing, countedDemand(group.step));
        }
    }
};
