import { type ExecutorSets, executorSetsFor, scarcityOf } from "./bestFit.js";
import { DEFAULT_DISPATCH_OPTIONS, type DispatchOptions } from "./dispatchOptions.js";
import type { DispatchDecision, DispatchView, JobView } from "./dispatchView.js";
import { type Eviction, findEvictions } from "./evictions.js";
import { executorHealth, findFaultyJobs } from "./executorHealth.js";
import { ExecutorIndex } from "./executorIndex.js";
import { executorResources } from "./executorResources.js";
import { guaranteedOccurrences } from "./guarantees.js";
import { forecastOccurrences } from "./occurrenceForecasts.js";
import { openOccurrences } from "./openOccurrences.js";
import { type PassState, stopGroup } from "./passState.js";
import { fitKeyOf, type ReadyUnit, readyUnits } from "./readyUnits.js";
import { expectedReleases } from "./reservations.js";
import { findRunSteps, groupsByExecutor, runGroups, type SlownessOf } from "./runGroups.js";
import { estimateRunTimes } from "./runTimes.js";
import { stepWaves } from "./stepWaves.js";
import { toleratedSlowness } from "./toleratedSlowness.js";
import { orderUnits, type RankedUnit } from "./unitOrder.js";
import { placeUnit } from "./unitPlacement.js";

/** Indices of the executors on which a task failed recently, by job and key of the task. */
type AvoidedExecutors = ReadonlyMap<string, ReadonlySet<number>>;

const avoidedExecutors = (
    { executors, now }: DispatchView,
    { avoidAfterFailureMs }: DispatchOptions,
): AvoidedExecutors => {
    const avoided = new Map<string, Set<number>>();
    executors.forEach(({ recentEnds }, index) => {
        for (const { jobId, key, isFailure, at } of recentEnds) {
            if (isFailure && now - at < avoidAfterFailureMs) {
                const id = `${jobId} ${key}`;
                avoided.set(id, (avoided.get(id) ?? new Set()).add(index));
            }
        }
    });
    return avoided;
};

const NO_EXECUTORS: ReadonlySet<number> = new Set();

const avoidedForUnit = ({ openOccurrence, keys }: ReadyUnit, avoided: AvoidedExecutors): ReadonlySet<number> =>
    avoided.size === 0
        ? NO_EXECUTORS
        : new Set(keys.flatMap(key => [...avoided.get(`${openOccurrence.view.job.jobId} ${key}`) ?? []]));

const unhealthyExecutors = (evictions: readonly Eviction[]): ReadonlySet<number> =>
    new Set(
        evictions
            .filter(({ reason }) => reason === "stalled" || reason === "slow")
            .flatMap(({ group }) => group.members.map(({ executorIndex }) => executorIndex)),
    );

/** The slowness of the slowest executors on which a unit loses no value; 1 if it does on all slow ones. */
const usableSlowness = ({ runTimes, packing: { index: { speeds } } }: PassState, ranked: RankedUnit): number => {
    const { openOccurrence, stepIndex } = ranked.unit;
    const tolerated = speeds.length === 1
        ? 1
        : toleratedSlowness(ranked, runTimes.stepMs(openOccurrence.view, stepIndex));
    return speeds.findLast(slowness => slowness <= tolerated) ?? 1;
};

const placeAll = (state: PassState, ordered: readonly RankedUnit[]): void => {
    const avoided = avoidedExecutors(state.view, state.options);
    const setsByKey = new Map<string, ExecutorSets>();
    for (const ranked of ordered) {
        const { unit } = ranked;
        const avoidedIndices = avoidedForUnit(unit, avoided);
        const maxSlowness = usableSlowness(state, ranked);
        const fitKey = avoidedIndices.size === 0 ? `${fitKeyOf(unit)};${maxSlowness}` : undefined;
        const known = fitKey === undefined ? undefined : setsByKey.get(fitKey);
        const sets = known ?? executorSetsFor(unit, avoidedIndices, state.packing.index, maxSlowness);
        if (fitKey !== undefined) {
            setsByKey.set(fitKey, sets);
        }
        const wait = placeUnit(state, ranked, sets, fitKey);
        if (wait !== undefined) {
            state.waiting.push({ ranked, kind: wait });
        }
    }
};

/** Decisions of a pass, the executors after it, the units that wait, and how it used its searches. */
export type PassResult = Pick<PassState, "decisions" | "executors" | "waiting" | "searchCount" | "skippedSearches">;

const slownessByIndex = ({ executors, slowness }: DispatchView): SlownessOf =>
    slowness === undefined || slowness.size === 0
        ? () => 1
        : index => slowness.get(executors[index]?.vm ?? "") ?? 1;

/** Runs a pass over one view of the jobs and executors. */
export const runPass = (view: DispatchView, overrides: Partial<DispatchOptions> = {}): PassResult => {
    const options = { ...DEFAULT_DISPATCH_OPTIONS, ...overrides };
    const jobs: ReadonlyMap<string, JobView> = new Map(view.jobs.map(job => [job.job.jobId, job]));
    const occurrences = openOccurrences(view.jobs, view.now, view.wallTime);
    const runSteps = findRunSteps(view.executors, jobs);
    const groups = runGroups(view.executors, runSteps, slownessByIndex(view));
    const runTimes = estimateRunTimes(view.jobs, groups, view.samples, view.now, view.slowness);
    const evictions = findEvictions(view, groups, runTimes, options);
    const units = occurrences.flatMap(openOccurrence => readyUnits(openOccurrence, view.advised));
    if (units.length === 0 && evictions.length === 0) {
        // Most passes end here: the controller runs one every 250 ms even when nothing has changed.
        return { decisions: [], executors: [], waiting: [], searchCount: 0, skippedSearches: [] };
    }
    const unhealthy = unhealthyExecutors(evictions);
    const healthContext = { jobs, faultyJobs: findFaultyJobs(view.executors), now: view.now, options };
    const executors = executorResources(view, runSteps, index => {
        const executor = view.executors[index];
        return executor === undefined ? "failing" : executorHealth(executor, unhealthy.has(index), healthContext);
    });
    const forecasts = forecastOccurrences(occurrences, groups, runTimes, stepWaves(view.executors), view.now, options);
    const guaranteed = guaranteedOccurrences(view, occurrences);
    const state: PassState = {
        view,
        options,
        executors,
        groups,
        groupsByExecutor: groupsByExecutor(groups),
        runTimes,
        forecasts,
        guaranteed,
        releases: expectedReleases(groups, runTimes),
        packing: { scarcity: scarcityOf(executors), index: new ExecutorIndex(executors) },
        stopped: new Set(),
        stopCosts: new Map(),
        failedFits: new Map(),
        reservationCount: 0,
        searchCount: 0,
        skippedSearches: [],
        decisions: [],
        waiting: [],
    };
    evictions.forEach(({ group, reason }) => {
        stopGroup(state, group, reason);
    });
    placeAll(state, orderUnits(units, occurrences, forecasts, guaranteed, options));
    return state;
};

/** Decides which tasks start where and which runs stop, for one view of the jobs and executors. */
export const dispatchPass = (
    view: DispatchView,
    overrides: Partial<DispatchOptions> = {},
): readonly DispatchDecision[] => runPass(view, overrides).decisions;
