import type { Millis } from "@persimmonpitch/clock/clock.js";
import {
    type Assignment,
    type AvailableResources,
    type ExecutorSets,
    packBestFit,
    packBestSet,
    type Packing,
} from "./bestFit.js";
import { byPriority } from "./dispatchOptions.js";
import type { StartDecision } from "./dispatchView.js";
import {
    allocate,
    claimResources,
    type ExecutorResources,
    freeAfterStops,
    freeForDuration,
} from "./executorResources.js";
import { assignmentsOf, fitWithin, longestWaitMs, STOP_MS, WAIT_FACTOR } from "./expectedRoom.js";
import { type PassState, stopGroup, type WaitKind } from "./passState.js";
import { hasFailedBefore, type PlacementRequest } from "./placementRequest.js";
import { hasRepeatedRuns, type VictimLimits } from "./preemption.js";
import { isUrgent, nextRun, type ReadyUnit, tasksAtOnce } from "./readyUnits.js";
import { cheapestVictims, findEarliestFit } from "./reducedSearch.js";
import { reserveFit } from "./reservations.js";
import type { RankedUnit } from "./unitOrder.js";
import type { VictimSet } from "./victims.js";

/** One decision for a whole gang, and one for each task of any other step. */
const startDecisions = (
    unit: ReadyUnit,
    keys: readonly string[],
    assignments: readonly Assignment[],
): readonly StartDecision[] => {
    const places = assignments.flatMap(({ executor, count }) => Array.from({ length: count }, () => executor.view));
    const tasks = places.flatMap(({ vm, executorId }, index) => {
        const key = keys[index];
        return key === undefined ? [] : [{ key, vm, executorId }];
    });
    const { jobId } = unit.openOccurrence.view.job;
    return unit.step.isGang
        ? [{ kind: "start", jobId, run: nextRun(unit, keys), tasks }]
        : tasks.map(task => ({ kind: "start", jobId, run: nextRun(unit, [task.key]), tasks: [task] }));
};

const start = (
    state: PassState,
    { ranked: { unit }, durationMs }: PlacementRequest,
    keys: readonly string[],
    assignments: readonly Assignment[],
): void => {
    state.decisions.push(...startDecisions(unit, keys, assignments));
    assignments.forEach(({ executor, count }) => {
        allocate(executor, unit, count, durationMs);
    });
};

const claim = ({ unit }: RankedUnit, assignments: readonly Assignment[]): void => {
    assignments.forEach(({ executor, count }) => {
        claimResources(executor, unit, count);
    });
};

const FIRST_LIMITS: VictimLimits = { mayStopUrgent: false, mayStopRepeated: false };

const packInBestSet = (
    state: PassState,
    { unit }: RankedUnit,
    sets: readonly (readonly ExecutorResources[])[],
    count: number,
    available: AvailableResources,
): Packing | undefined => packBestSet(sets, unit, count, available, state.packing);

const fallbackSets = ({ fallback }: ExecutorSets): readonly (readonly ExecutorResources[])[] =>
    fallback === undefined ? [] : [fallback];

/** Stops the victims and claims their resources for the unit. */
const preempt = (
    state: PassState,
    ranked: RankedUnit,
    sets: readonly (readonly ExecutorResources[])[],
    count: number,
    { groups }: VictimSet,
): void => {
    groups.forEach(group => {
        stopGroup(state, group, "preempted");
    });
    claim(ranked, packInBestSet(state, ranked, sets, count, freeAfterStops)?.assignments ?? []);
};

/**
 * Whether the unit would be late after the wait but not after a preemption, and the value saved exceeds the cost by the
 * preemption margin.
 */
const isPreemptionWorthwhile = (
    { options }: PassState,
    { unit, forecast }: RankedUnit,
    waitMs: Millis,
    cost: number,
): boolean => {
    const lateValueShare = byPriority(options.lateValueShareByPriority, unit.openOccurrence.view.queue.priority);
    const isSaved = forecast.slackMs >= STOP_MS && forecast.slackMs < WAIT_FACTOR * waitMs;
    return isSaved && forecast.value * (1 - lateValueShare) > options.preemptionMargin * cost;
};

/**
 * Claims the earliest fit of an urgent unit as running work completes, if that is in time. The claim covers
 * what is free now and what completes later, so that no other work delays the unit or takes its part.
 */
const waitForRoom = (state: PassState, { ranked, sets }: PlacementRequest, count: number): boolean => {
    const fit = fitWithin(state, ranked, sets.preferred, count, longestWaitMs(state, ranked));
    if (fit === undefined) {
        return false;
    }
    claim(ranked, assignmentsOf(state, ranked.unit, count, fit));
    return true;
};

/**
 * Preempts lower priorities for an urgent unit if that is worthwhile and running work does not complete in time. The
 * given wait covers fewer executors, so it may be longer than that.
 */
const tryPreempt = (
    state: PassState,
    request: PlacementRequest,
    count: number,
    waitMs: Millis,
): WaitKind | undefined => {
    const { ranked, sets } = request;
    if (!isUrgent(ranked.unit) || !isPreemptionWorthwhile(state, ranked, waitMs, 0)) {
        return undefined;
    }
    if (waitForRoom(state, request, count)) {
        return "reserved";
    }
    const victims = cheapestVictims(state, ranked, sets.preferred, count, FIRST_LIMITS);
    if (victims === undefined || !isPreemptionWorthwhile(state, ranked, waitMs, victims.loss)) {
        return undefined;
    }
    preempt(state, ranked, sets.preferred, count, victims);
    return "stopping";
};

/**
 * Whether resources are reserved for the unit. Independent tasks with one accelerator or less need none: they fit
 * as other tasks end.
 */
const needsReservation = ({ unit: { step, demand } }: RankedUnit): boolean => step.isGang || demand.accelerators > 1;

/**
 * Starts the tasks that fit on the preferred executors, a gang only as a whole. Returns the keys of the remaining
 * tasks.
 */
const startNow = (state: PassState, request: PlacementRequest, keys: readonly string[]): readonly string[] => {
    const { ranked: { unit }, ranked, sets, durationMs, fitKey } = request;
    const minTasks = tasksAtOnce(unit);
    if (hasFailedBefore(state, fitKey, minTasks, durationMs)) {
        return keys;
    }
    const available: AvailableResources = executor => freeForDuration(executor, durationMs);
    const [only] = sets.preferred;
    const packing = only !== undefined && sets.preferred.length === 1
        ? packBestFit(only, unit, keys.length, available, state.packing)
        : packInBestSet(state, ranked, sets.preferred, keys.length, available);
    if (packing?.count === keys.length) {
        start(state, request, keys, packing.assignments);
        return [];
    }
    if (fitKey !== undefined) {
        state.failedFits.set(fitKey, { count: minTasks, durationMs });
    }
    if (unit.step.isGang) {
        return keys;
    }
    const partial = packing ?? packBestFit(sets.preferred.flat(), unit, keys.length, available, state.packing);
    start(state, request, keys, partial.assignments);
    return keys.slice(partial.count);
};

/** How much longer a task takes on the fallback executors, because of their racks or their speed. */
const fallbackDelayMs = ({ view: { timings } }: PassState, { durationMs, sets }: PlacementRequest): Millis =>
    (Math.max(sets.fallbackSlowness, sets.isFallbackAway ? timings.spreadSlowdown : 1) - 1) * durationMs;

/** Starts tasks on the fallback executors if waiting for the preferred ones takes longer than the slowdown. */
const startOnFallback = (
    state: PassState,
    request: PlacementRequest,
    keys: readonly string[],
    waitMs: Millis,
): readonly string[] => {
    const { ranked: { unit }, sets: { fallback }, durationMs } = request;
    const extraMs = fallbackDelayMs(state, request);
    if (fallback === undefined || waitMs <= extraMs) {
        return keys;
    }
    const onFallback: PlacementRequest = { ...request, durationMs: durationMs + extraMs };
    const packing = packBestFit(
        fallback,
        unit,
        keys.length,
        executor => freeForDuration(executor, onFallback.durationMs),
        state.packing,
    );
    if (unit.step.isGang && packing.count < keys.length) {
        return keys;
    }
    start(state, onFallback, keys, packing.assignments);
    return keys.slice(packing.count);
};

/** Claims resources that are free or being released for tasks of the unit; false if the tasks do not fit. */
const claimAfterStops = (
    state: PassState,
    { ranked, fitKey, sets: { preferred } }: PlacementRequest,
    sets: readonly (readonly ExecutorResources[])[],
    count: number,
): boolean => {
    const afterStopsKey = fitKey === undefined ? undefined : `later ${fitKey}`;
    if (sets === preferred && hasFailedBefore(state, afterStopsKey, count, 0)) {
        return false;
    }
    const packing = packInBestSet(state, ranked, sets, count, freeAfterStops);
    if (packing === undefined && afterStopsKey !== undefined && sets === preferred) {
        state.failedFits.set(afterStopsKey, { count, durationMs: 0 });
    }
    claim(ranked, packing?.assignments ?? []);
    return packing !== undefined;
};

const preemptCheapest = (
    state: PassState,
    { ranked }: PlacementRequest,
    sets: readonly (readonly ExecutorResources[])[],
    count: number,
    limits: VictimLimits,
): boolean => {
    const victims = cheapestVictims(state, ranked, sets, count, limits);
    if (victims === undefined) {
        return false;
    }
    preempt(state, ranked, sets, count, victims);
    return true;
};

/**
 * Makes room for a unit with a guarantee: preempts lower priorities on the preferred executors, then starts or preempts
 * on the fallback executors, and at last preempts urgent work without a guarantee. Runs that were restarted too often
 * are stopped only where the others do not suffice.
 */
const enforceGuarantee = (
    state: PassState,
    request: PlacementRequest,
    keys: readonly string[],
): WaitKind | undefined => {
    const { preferred } = request.sets;
    if (
        preemptCheapest(state, request, preferred, keys.length, FIRST_LIMITS)
        || hasRepeatedRuns(state)
            && preemptCheapest(state, request, preferred, keys.length, { mayStopUrgent: false, mayStopRepeated: true })
    ) {
        return "stopping";
    }
    const remainingKeys = startOnFallback(state, request, keys, Infinity);
    const slowerSets = fallbackSets(request.sets);
    if (remainingKeys.length === 0) {
        return undefined;
    }
    if (claimAfterStops(state, request, slowerSets, remainingKeys.length)) {
        return "claimed";
    }
    for (const [sets, mayStopUrgent] of [[slowerSets, false], [preferred, true], [slowerSets, true]] as const) {
        if (preemptCheapest(state, request, sets, remainingKeys.length, { mayStopUrgent, mayStopRepeated: true })) {
            return "stopping";
        }
    }
    return "unplaced";
};

/** Whether to search for a future fit or for victims. */
const needsSearch = ({ options, reservationCount }: PassState, { ranked, sets }: PlacementRequest): boolean => {
    const mayReserve = needsReservation(ranked) && reservationCount < options.maxReservations;
    return isUrgent(ranked.unit) || mayReserve || sets.fallback !== undefined;
};

/** Uses one search of the pass for the unit; false if none is left for it. */
const takeSearch = (state: PassState, { unit: { stepId } }: RankedUnit): boolean => {
    const { view: { searchTurns }, options: { maxSearches } } = state;
    const limit = searchTurns === undefined || searchTurns.has(stepId) ? maxSearches : maxSearches - searchTurns.size;
    if (state.searchCount >= limit) {
        state.skippedSearches.push(stepId);
        return false;
    }
    state.searchCount += 1;
    return true;
};

/**
 * Handles tasks that do not fit now: starts them on slower executors, preempts other work, or reserves a future fit.
 */
const placeBlocked = (state: PassState, request: PlacementRequest, keys: readonly string[]): WaitKind | undefined => {
    const { ranked } = request;
    if (!needsSearch(state, request) || !takeSearch(state, ranked)) {
        return "unplaced";
    }
    const fit = findEarliestFit(state, request, keys.length);
    const waitMs = fit?.inMs ?? Infinity;
    const isLateOnFallback = ranked.forecast.slackMs < fallbackDelayMs(state, request);
    const preemptsFirst = state.options.preemptsBeforeFallback && isLateOnFallback;
    const firstWait = preemptsFirst ? tryPreempt(state, request, keys.length, waitMs) : undefined;
    if (firstWait !== undefined) {
        return firstWait;
    }
    const blocked = startOnFallback(state, request, keys, waitMs);
    if (blocked.length === 0) {
        return undefined;
    }
    const wait = tryPreempt(state, request, blocked.length, waitMs);
    if (wait !== undefined) {
        return wait;
    }
    if (fit === undefined || !needsReservation(ranked) || state.reservationCount >= state.options.maxReservations) {
        return "unplaced";
    }
    state.reservationCount += 1;
    reserveFit(ranked.unit, blocked.length, fit, state.releases, state.packing);
    return "reserved";
};

/**
 * Places a unit: starts it, claims resources that are being released, preempts other work, or reserves a future fit.
 * Returns how the unit waits, or undefined if all its tasks start.
 */
export const placeUnit = (
    state: PassState,
    ranked: RankedUnit,
    sets: ExecutorSets,
    fitKey: string | undefined,
): WaitKind | undefined => {
    const { unit, isGuaranteed } = ranked;
    const durationMs = state.runTimes.stepMs(unit.openOccurrence.view, unit.stepIndex);
    const request: PlacementRequest = { ranked, sets, fitKey, durationMs };
    const remainingKeys = startNow(state, request, unit.keys);
    if (remainingKeys.length === 0) {
        return undefined;
    }
    if (isGuaranteed && waitForRoom(state, request, remainingKeys.length)) {
        return "reserved";
    }
    if (isUrgent(unit) && claimAfterStops(state, request, sets.preferred, remainingKeys.length)) {
        return "claimed";
    }
    return isGuaranteed ? enforceGuarantee(state, request, remainingKeys) : placeBlocked(state, request, remainingKeys);
};
