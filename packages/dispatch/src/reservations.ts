import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { Demand } from "@persimmonpitch/workload/step.js";
import { type Assignment, packBestFit, type PackingContext } from "./bestFit.js";
import { addTo, countedDemand, type MutableDemand, noDemand } from "./demand.js";
import { type ExecutorResources, freeAfterStops, slotsFor } from "./executorResources.js";
import type { ReadyUnit } from "./readyUnits.js";
import type { RunGroup } from "./runGroups.js";
import type { RunTimes } from "./runTimes.js";

/** Resources that a run releases when it completes. */
export interface Release {
    /** Expected time until the run completes. */
    readonly inMs: Millis;
    readonly demand: Demand;
}

/** Expected releases of each executor, by its index, in order of time. */
export type Releases = ReadonlyMap<number, readonly Release[]>;

/** Time until a unit fits, and the resources then available to it on each executor. */
export interface FutureFit {
    readonly inMs: Millis;
    readonly available: ReadonlyMap<ExecutorResources, MutableDemand>;
}

/** Expected releases of all runs that end and are not being stopped. */
export const expectedReleases = (groups: readonly RunGroup[], { remainingMs }: RunTimes): Releases => {
    const releases = new Map<number, Release[]>();
    for (const group of groups) {
        const inMs = remainingMs(group);
        if (group.isStopping || !Number.isFinite(inMs)) {
            continue;
        }
        for (const { executorIndex } of group.members) {
            const list = releases.get(executorIndex) ?? [];
            list.push({ inMs, demand: countedDemand(group.step) });
            releases.set(executorIndex, list);
        }
    }
    releases.forEach(list => list.sort((left, right) => left.inMs - right.inMs));
    return releases;
};

/** Free resources after the pending stops, without those reserved for other units. */
const unreservedAfterStops = (executor: ExecutorResources): MutableDemand => {
    const later = freeAfterStops(executor);
    if (executor.reservation !== undefined) {
        addTo(later, executor.reservation.reserved, -1);
    }
    return later;
};

/** Free resources without those that are claimed or reserved for other units. */
export const unreservedNow = (executor: ExecutorResources): MutableDemand => {
    const now = unreservedAfterStops(executor);
    addTo(now, executor.releasing, -1);
    return now;
};

/**
 * The earliest time at which `count` tasks of the unit fit on the executors, as running work completes, given the
 * resources that are available before.
 */
export const earliestFit = (
    executors: readonly ExecutorResources[],
    unit: ReadyUnit,
    count: number,
    releases: Releases,
    availableNow: (executor: ExecutorResources) => MutableDemand = unreservedAfterStops,
): FutureFit | undefined => {
    const available = new Map(executors.map(executor => [executor, availableNow(executor)]));
    const slots = new Map(
        executors.map(executor => [executor, slotsFor(executor, unit, available.get(executor) ?? noDemand())]),
    );
    let total = [...slots.values()].reduce((sum, slotCount) => sum + slotCount, 0);
    let inMs = 0;
    const events = total >= count ? [] : executors
        .flatMap(executor => (releases.get(executor.index) ?? []).map(release => ({ executor, release })))
        .sort((left, right) => left.release.inMs - right.release.inMs);
    for (const { executor, release } of events) {
        if (total >= count) {
            break;
        }
        const free = available.get(executor) ?? noDemand();
        addTo(free, release.demand);
        const slotsAfter = slotsFor(executor, unit, free);
        total += slotsAfter - (slots.get(executor) ?? 0);
        slots.set(executor, slotsAfter);
        inMs = release.inMs;
    }
    return total < count ? undefined : { inMs, available };
};

/** Resources released until the given time. */
const releasedBy = (list: readonly Release[], timeMs: Millis): MutableDemand => {
    const released = noDemand();
    for (const { inMs, demand } of list) {
        if (inMs <= timeMs) {
            addTo(released, demand);
        }
    }
    return released;
};

const addReservations = (
    { demand }: ReadyUnit,
    assignments: readonly Assignment[],
    inMs: Millis,
    releases: Releases,
): void => {
    for (const { executor, count } of assignments) {
        executor.onChanged();
        if (executor.reservation === undefined) {
            const spare = freeAfterStops(executor);
            addTo(spare, releasedBy(releases.get(executor.index) ?? [], inMs));
            executor.reservation = { startsInMs: inMs, reserved: noDemand(), spare };
        }
        addTo(executor.reservation.reserved, demand, count);
        addTo(executor.reservation.spare, demand, -count);
        executor.reservation.startsInMs = Math.min(executor.reservation.startsInMs, inMs);
    }
};

/**
 * Reserves the resources of a future fit. As in backfill scheduling, other work may start there only if it ends before
 * the reservation starts or fits in the spare resources.
 */
export const reserveFit = (
    unit: ReadyUnit,
    count: number,
    { inMs, available }: FutureFit,
    releases: Releases,
    packing: PackingContext,
): void => {
    const executors = [...available.keys()];
    const { assignments } = packBestFit(
        executors,
        unit,
        count,
        executor => available.get(executor) ?? noDemand(),
        packing,
    );
    addReservations(unit, assignments, inMs, releases);
};
