import { type ExecutorResources, freeAfterStops } from "./executorResources.js";
import type { PassState } from "./passState.js";
import { hasFailedBefore, type PlacementRequest } from "./placementRequest.js";
import { type VictimLimits, victimsFor } from "./preemption.js";
import { earliestFit, type FutureFit } from "./reservations.js";
import type { RankedUnit } from "./unitOrder.js";
import { chooseVictims, type VictimSet } from "./victims.js";

/** The `count` items whose executors have the most free accelerators. */
const selectMostFree = <Item>(
    items: readonly Item[],
    executorsOf: (item: Item) => readonly ExecutorResources[],
    count: number,
): readonly Item[] =>
    items.length <= count ? items : items
        .map(item => ({
            item,
            freeAccelerators: executorsOf(item).reduce(
                (sum, executor) => sum + freeAfterStops(executor).accelerators,
                0,
            ),
        }))
        .sort((left, right) => right.freeAccelerators - left.freeAccelerators)
        .slice(0, count)
        .map(({ item }) => item);

/** The `count` executors of a set that have the most free accelerators. */
const executorsWithMostFree = (
    { packing: { index } }: PassState,
    executors: readonly ExecutorResources[],
    count: number,
) => executors.length <= count
    ? executors
    : index.withMostFree(executors, count) ?? selectMostFree(executors, executor => [executor], count);

/**
 * The earliest fit in a preferred set. Of many sets or executors, those with the most free accelerators are searched
 * first, and all only if they cannot hold the unit. Without that, other work would fill the rest again and again.
 */
export const findEarliestFit = (
    state: PassState,
    { ranked: { unit }, sets: { preferred }, fitKey }: PlacementRequest,
    count: number,
): FutureFit | undefined => {
    const { maxSearchedSets, maxSearchedExecutors } = state.options;
    const futureKey = fitKey === undefined ? undefined : `future ${fitKey}`;
    if (hasFailedBefore(state, futureKey, count, 0)) {
        return undefined;
    }
    const earliestIn = (sets: readonly (readonly ExecutorResources[])[]): FutureFit | undefined =>
        sets
            .map(executors => earliestFit(executors, unit, count, state.releases))
            .reduce((best, fit) => fit !== undefined && fit.inMs < (best?.inMs ?? Infinity) ? fit : best, undefined);
    const first = selectMostFree(preferred, executors => executors, maxSearchedSets)
        .map(executors => executorsWithMostFree(state, executors, maxSearchedExecutors));
    const isReduced = first.length < preferred.length
        || preferred.some(({ length }) => length > maxSearchedExecutors);
    const fit = earliestIn(first) ?? (isReduced ? earliestIn(preferred) : undefined);
    if (fit === undefined && futureKey !== undefined) {
        state.failedFits.set(futureKey, { count, durationMs: 0 });
    }
    return fit;
};

/**
 * The cheapest victims found in any of the sets. Large sets, and many sets, are first reduced to those with the most
 * free accelerators; all are searched only if that finds nothing, many sets only for a guarantee.
 */
export const cheapestVictims = (
    state: PassState,
    ranked: RankedUnit,
    sets: readonly (readonly ExecutorResources[])[],
    count: number,
    limits: VictimLimits,
): VictimSet | undefined => {
    const { maxSearchedSets, maxSearchedExecutors } = state.options;
    const chooseIn = (executors: readonly ExecutorResources[]): VictimSet | undefined =>
        chooseVictims(executors, ranked.unit, count, victimsFor(state, ranked, executors, limits));
    const chooseInSet = (executors: readonly ExecutorResources[]): VictimSet | undefined =>
        executors.length <= maxSearchedExecutors
            ? chooseIn(executors)
            : chooseIn(executorsWithMostFree(state, executors, maxSearchedExecutors)) ?? chooseIn(executors);
    const cheapestIn = (searched: readonly (readonly ExecutorResources[])[]): VictimSet | undefined =>
        searched
            .map(chooseInSet)
            .reduce((best, set) => set !== undefined && set.cost < (best?.cost ?? Infinity) ? set : best, undefined);
    return sets.length <= maxSearchedSets
        ? cheapestIn(sets)
        : cheapestIn(selectMostFree(sets, executors => executors, maxSearchedSets))
            ?? (ranked.isGuaranteed ? cheapestIn(sets) : undefined);
};
