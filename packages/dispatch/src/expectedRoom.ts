import type { Millis } from "@persimmonpitch/clock/clock.js";
import { type Assignment, packBestFit } from "./bestFit.js";
import { noDemand } from "./demand.js";
import type { ExecutorResources } from "./executorResources.js";
import type { PassState } from "./passState.js";
import type { ReadyUnit } from "./readyUnits.js";
import { earliestFit, type FutureFit, unreservedNow } from "./reservations.js";
import type { RankedUnit } from "./unitOrder.js";

/** Expected time from the order to stop a run until it has ended. */
export const STOP_MS: Millis = 300;

/** Safety factor on the estimated wait for running work to complete, which is too short about as often as too long. */
export const WAIT_FACTOR = 1.2;

/**
 * Time that is kept between the latest end of a stopped run and the reclaim limit: a pass may come 250 ms late, and the
 * end of the run and the order of the start have to pass between controller and executor.
 */
const RECLAIM_MARGIN_MS: Millis = 600;

/**
 * Time until a guaranteed unit has to preempt, so that it starts within the reclaim limit even if its victims take
 * the whole stop timeout. It depends on the acceptance only, so wrong estimates cannot move it.
 */
const latestReclaimMs = ({ view: { now, timings } }: PassState, { unit }: RankedUnit): Millis =>
    unit.openOccurrence.startAt + timings.reclaimMs - now - timings.stopTimeoutMs - RECLAIM_MARGIN_MS;

/** Time until a unit has to preempt so that it still earns what it can earn now. */
const latestByValueMs = ({ forecast: { deadlineStatus, slackMs, lateSlackMs } }: RankedUnit): Millis => {
    const slackByStatus = { onTime: slackMs, late: lateSlackMs, hopeless: Infinity };
    return slackByStatus[deadlineStatus] - STOP_MS;
};

/** How long an urgent unit may wait for running work to complete before it has to preempt other work. */
export const longestWaitMs = (state: PassState, ranked: RankedUnit): Millis => {
    const byValueMs = latestByValueMs(ranked);
    return ranked.isGuaranteed ? Math.min(byValueMs, latestReclaimMs(state, ranked)) : byValueMs;
};

/** Accelerators that are free on an executor or expected to be within the time, without those claimed by others. */
const acceleratorsWithin = ({ releases }: PassState, executor: ExecutorResources, timeMs: Millis): number => {
    const { free, claimed, reservation } = executor;
    let accelerators = free.accelerators - claimed.accelerators - (reservation?.reserved.accelerators ?? 0);
    for (const { inMs, demand } of releases.get(executor.index) ?? []) {
        if (inMs > timeMs) {
            break;
        }
        accelerators += demand.accelerators;
    }
    return accelerators;
};

interface CandidateSet {
    readonly executors: readonly ExecutorResources[];
    /** Sum of the accelerators of the executors with room for a task. */
    readonly accelerators: number;
}

/** The executors of a set that may have room for a task of the unit within the time, those with the most first. */
const candidatesIn = (
    state: PassState,
    { demand }: ReadyUnit,
    executors: readonly ExecutorResources[],
    timeMs: Millis,
): CandidateSet => {
    const least = Math.max(1, demand.accelerators);
    const found = executors
        .map(executor => ({ executor, accelerators: acceleratorsWithin(state, executor, timeMs) }))
        .filter(({ accelerators }) => demand.accelerators === 0 || accelerators >= least)
        .sort((left, right) => right.accelerators - left.accelerators)
        .slice(0, state.options.maxSearchedExecutors);
    return {
        executors: found.map(({ executor }) => executor),
        accelerators: found.reduce((sum, { accelerators }) => sum + accelerators, 0),
    };
};

/**
 * The earliest fit on the preferred executors as running work completes, if it is within the time by a safety factor.
 * Runs that are being stopped do not count: their resources belong to the unit that they are stopped for.
 */
export const fitWithin = (
    state: PassState,
    { unit }: RankedUnit,
    sets: readonly (readonly ExecutorResources[])[],
    count: number,
    timeMs: Millis,
): FutureFit | undefined => {
    const horizonMs = timeMs / WAIT_FACTOR;
    if (!state.options.waitsBeforePreemption || horizonMs <= 0) {
        return undefined;
    }
    const fits = sets
        .map(executors => candidatesIn(state, unit, executors, horizonMs))
        .filter(({ accelerators }) => accelerators >= count * unit.demand.accelerators)
        .sort((left, right) => right.accelerators - left.accelerators)
        .slice(0, state.options.maxSearchedSets)
        .map(({ executors }) => earliestFit(executors, unit, count, state.releases, unreservedNow));
    const earliest = fits.reduce(
        (best, fit) => fit !== undefined && fit.inMs < (best?.inMs ?? Infinity) ? fit : best,
        undefined,
    );
    return earliest !== undefined && earliest.inMs <= horizonMs ? earliest : undefined;
};

/** Where the tasks of a unit go once its future fit is free. */
export const assignmentsOf = (
    { packing }: PassState,
    unit: ReadyUnit,
    count: number,
    { available }: FutureFit,
): readonly Assignment[] =>
    packBestFit(
        [...available.keys()],
        unit,
        count,
        executor => available.get(executor) ?? noDemand(),
        packing,
    ).assignments;
