import type { Millis } from "@persimmonpitch/clock/clock.js";
import { type ByStep, valueOfStep } from "./byStep.js";
import type { DispatchOptions } from "./dispatchOptions.js";
import type { DispatchView, StopReason } from "./dispatchView.js";
import { groupBy } from "./groupBy.js";
import type { RateMeasurement } from "./rateMeasurement.js";
import type { GroupMember, RunGroup } from "./runGroups.js";
import type { RunTimes } from "./runTimes.js";

/** A run group that has to stop on its executors so that its tasks can restart on others. */
export interface Eviction {
    readonly group: RunGroup;
    readonly reason: StopReason;
}

/** Input and shared intermediate results of the eviction checks of one pass. */
interface EvictionContext {
    readonly view: DispatchView;
    readonly options: DispatchOptions;
    readonly runTimes: RunTimes;
    readonly lastProgress: LastProgress;
    readonly measurementsByGroup: ReadonlyMap<RunGroup, readonly RunMeasurement[]>;
    readonly measurementsByStep: ByStep<RunMeasurement[]>;
    readonly measurementsByExecutor: ReadonlyMap<number, readonly RunMeasurement[]>;
    /**
     * Measured against estimated run time, by executor: the least of its runs. Only executors that run enough different
     * jobs have an entry.
     */
    readonly slowness: ReadonlyMap<number, number>;
    /** Median of all measured runs. */
    readonly medianSlowness: number;
}

/** Time of the latest progress of all runs, its executor, and the latest progress on all other executors. */
interface LastProgress {
    readonly executorIndex: number | undefined;
    readonly at: Millis | undefined;
    readonly atOthers: Millis | undefined;
}

/** The measured rate of a run on one executor. */
interface RunMeasurement {
    readonly executorIndex: number;
    readonly group: RunGroup;
    readonly measured: RateMeasurement;
    /** Run time at the measured rate divided by the estimated run time. */
    readonly slowness: number;
}

/** A rate measured over a shorter time is ignored. */
const MIN_MEASURED_MS = 1_500;

/** Number of different jobs whose runs must all be slow before an executor counts as slow. */
const MIN_SLOW_JOBS = 2;

/**
 * Progress may be reported in whole percents, so a run may take the time of this many percent without visible progress.
 */
const STALL_PERCENTAGE_POINTS = 3;

/** A run is compared with its siblings, the other runs of its step, if at least this many were measured. */
const MIN_SIBLINGS = 2;

/** Expected upper bound of the time from a stop to the restart on another executor. */
const EXPECTED_RESTART_MS = 700;

/** A run on a draining executor is stopped this much earlier than the stop timeout before the executor leaves. */
const DRAIN_MARGIN_MS = 500;

const median = (values: readonly number[]): number =>
    new Float64Array(values).sort()[Math.floor(values.length / 2)] ?? 1;

/**
 * The rate as it would be at normal speed. Work with slack is placed on slow executors on purpose and must not be evicted
 * from them for their known slowness, unless they are so slow that they count as faulty.
 */
const atKnownSpeed = (measured: RateMeasurement, slowness: number, slowFactor: number): RateMeasurement =>
    slowness === 1 || slowness > slowFactor ? measured : { ...measured, totalMs: measured.totalMs / slowness };

const measureAll = (
    groups: readonly RunGroup[],
    { declaredMs }: RunTimes,
    { slowFactor }: DispatchOptions,
): readonly RunMeasurement[] => {
    const found: RunMeasurement[] = [];
    for (const group of groups) {
        if (group.step.isLongRunning || group.step.usesIdleCores) {
            continue;
        }
        const expectedMs = Math.max(1, declaredMs(group.view, group.stepIndex));
        for (const { executorIndex, measured } of group.members) {
            if (measured !== undefined && measured.durationMs >= MIN_MEASURED_MS) {
                const normal = atKnownSpeed(measured, group.slowness, slowFactor);
                found.push({ executorIndex, group, measured: normal, slowness: normal.totalMs / expectedMs });
            }
        }
    }
    return found;
};

const groupMeasurementsByStep = (measurements: readonly RunMeasurement[]): ByStep<RunMeasurement[]> => {
    const found: ByStep<RunMeasurement[]> = new Map();
    for (const measurement of measurements) {
        valueOfStep(found, measurement.group.view, measurement.group.stepIndex, () => []).push(measurement);
    }
    return found;
};

/** The least slowness of the runs of each executor that runs enough different jobs. */
const slownessByExecutor = (
    measurementsByExecutor: ReadonlyMap<number, readonly RunMeasurement[]>,
): ReadonlyMap<number, number> =>
    new Map(
        [...measurementsByExecutor]
            .filter(([, all]) => new Set(all.map(({ group }) => group.view.job.jobId)).size >= MIN_SLOW_JOBS)
            .map(([executorIndex, all]) => [executorIndex, Math.min(...all.map(({ slowness }) => slowness))]),
    );

/** Whether a run on another executor has progressed in the time; otherwise the progress reports may be what stalled. */
const haveOthersProgressed = (
    { lastProgress, view: { now } }: EvictionContext,
    ownIndex: number,
    inMs: Millis,
): boolean => {
    const at = ownIndex === lastProgress.executorIndex ? lastProgress.atOthers : lastProgress.at;
    return at === undefined || now - at < inMs;
};

/** Time without progress after which a group counts as stalled. */
const stallLimitMs = ({ view: { now, timings }, options, runTimes }: EvictionContext, group: RunGroup): Millis => {
    const { view, stepIndex, step, members, workingSince = now } = group;
    const isResumed = members.some(({ run }) => (run.firstPercent ?? 0) > 0);
    const workMs = members.reduce(
        (most, { run: { progressAt = 0 } }) => Math.max(most, progressAt - workingSince),
        0,
    );
    const unsavedMs = step.hasCheckpoints ? Math.min(workMs, timings.checkpointIntervalMs) : workMs;
    return Math.max(
        options.stallMs + (isResumed ? timings.restoreMs : 0),
        STALL_PERCENTAGE_POINTS * runTimes.stepMs(view, stepIndex) / 100,
        // A stalled run may resume, and a restart loses its unsaved work. Waiting for as long as that work took costs
        // at most twice as much as the better of the two choices.
        unsavedMs,
    );
};

/**
 * Time without progress until the executor last listed its runs. The time since then does not count, as the progress in
 * it is unknown.
 */
const noProgressMs = (
    { view: { executors } }: EvictionContext,
    { executorIndex, run: { progressAt = 0 } }: GroupMember,
    workingSince: Millis,
): Millis => (executors[executorIndex]?.listedAt ?? 0) - Math.max(workingSince, progressAt);

const isStalled = (context: EvictionContext, group: RunGroup): boolean => {
    const { workingSince, members } = group;
    if (workingSince === undefined) {
        return false;
    }
    const isProgressing = members.every(member =>
        noProgressMs(context, member, workingSince) <= context.options.stallMs
    );
    if (isProgressing) {
        // Skips the computation of the limit, which is never below `stallMs`.
        return false;
    }
    const limitMs = stallLimitMs(context, group);
    return members.some(member =>
        (member.run.percent ?? 0) < 100
        && noProgressMs(context, member, workingSince) > limitMs
        && haveOthersProgressed(context, member.executorIndex, limitMs)
    );
};

const medianMs = (measurements: readonly RunMeasurement[]): Millis =>
    median(measurements.map(({ measured }) => measured.totalMs));

/**
 * Whether the runs of a step on one executor are slow compared to its runs on other executors. Tasks of one step differ
 * by up to `slowFactor` on equal executors, so a single run is compared with the slowest of the others, and several
 * runs with the median.
 */
const areSlowerThan = (
    here: readonly RunMeasurement[],
    elsewhere: readonly RunMeasurement[],
    { slowFactor }: DispatchOptions,
): boolean => {
    const fastestMs = Math.min(...here.map(({ measured }) => measured.totalMs));
    const slowestMs = Math.max(...elsewhere.map(({ measured }) => measured.totalMs));
    return fastestMs > slowFactor * (here.length > 1 ? medianMs(elsewhere) : slowestMs);
};

const siblingsElsewhere = (
    { measurementsByStep, measurementsByGroup }: EvictionContext,
    { group, executorIndex }: RunMeasurement,
): readonly RunMeasurement[] => {
    const ofStep = measurementsByStep.get(group.view)?.get(group.stepIndex) ?? [];
    // If the step has only this group, as a gang does, there is nothing to find. Without this check, the search would
    // be quadratic in the number of members.
    const hasNone = ofStep.length === (measurementsByGroup.get(group)?.length ?? 0);
    return hasNone ? [] : ofStep.filter(other => other.group !== group && other.executorIndex !== executorIndex);
};

/**
 * Whether a run is as fast as the median of its siblings on other executors, or of all runs if it has too few siblings.
 */
const isNormalSpeed = (context: EvictionContext, run: RunMeasurement): boolean => {
    const elsewhere = siblingsElsewhere(context, run);
    return elsewhere.length >= MIN_SIBLINGS
        ? run.measured.totalMs <= medianMs(elsewhere)
        : run.slowness <= context.medianSlowness;
};

/**
 * The run time to expect on another executor if the run is slow, judged by its siblings or by all runs on its executor;
 * undefined if it is not slow.
 */
const usualMsIfSlow = (context: EvictionContext, measurement: RunMeasurement): Millis | undefined => {
    const { measurementsByExecutor, slowness, medianSlowness, options, runTimes } = context;
    const { group, executorIndex } = measurement;
    const elsewhere = siblingsElsewhere(context, measurement);
    const here = (measurementsByExecutor.get(executorIndex) ?? []).filter(({ group: { view, stepIndex } }) =>
        view === group.view && stepIndex === group.stepIndex
    );
    if (elsewhere.length >= MIN_SIBLINGS && areSlowerThan(here, elsewhere, options)) {
        return medianMs(elsewhere);
    }
    const estimatedMs = runTimes.declaredMs(group.view, group.stepIndex) * Math.max(1, medianSlowness);
    return (slowness.get(executorIndex) ?? 0) > options.slowFactor * medianSlowness ? estimatedMs : undefined;
};

/**
 * Like `usualMsIfSlow`, but undefined if another run on the executor has normal speed: the task then takes long
 * whatever executor it runs on.
 */
const usualMsIfExecutorSlow = (context: EvictionContext, measurement: RunMeasurement): Millis | undefined => {
    const usualMs = usualMsIfSlow(context, measurement);
    const others = usualMs === undefined ? [] : context.measurementsByExecutor.get(measurement.executorIndex) ?? [];
    return others.some(other => other.group !== measurement.group && isNormalSpeed(context, other))
        ? undefined
        : usualMs;
};

/**
 * Whether a group is slow because of its executor and would end sufficiently earlier after a restart on another one.
 */
const isSlow = (context: EvictionContext, group: RunGroup): boolean => {
    const { options, view: { timings } } = context;
    return (context.measurementsByGroup.get(group) ?? []).some(measurement => {
        const usualMs = usualMsIfExecutorSlow(context, measurement);
        if (usualMs === undefined) {
            return false;
        }
        const percent = group.members.reduce((least, { run }) => Math.min(least, run.percent ?? 0), 100);
        const openShare = 1 - percent / 100;
        const stayMs = openShare * measurement.measured.totalMs;
        const savedShare = group.step.hasCheckpoints ? percent / 100 : 0;
        const restoreMs = group.step.hasCheckpoints ? timings.restoreMs : 0;
        const restartElsewhereMs = (1 - savedShare) * usualMs + restoreMs + EXPECTED_RESTART_MS;
        const gainMs = stayMs - restartElsewhereMs;
        return gainMs >= options.minEvictionGainMs && gainMs >= options.minEvictionGainShare * stayMs;
    });
};

/**
 * Whether a group would not complete before its executor leaves, and has checkpoints, so that a stop saves its work.
 */
const isDraining = ({ view: { executors, timings }, runTimes }: EvictionContext, group: RunGroup): boolean => {
    const leavesInMs = group.members.reduce(
        (least, { executorIndex }) => Math.min(least, executors[executorIndex]?.leavesInMs ?? Infinity),
        Infinity,
    );
    return group.step.hasCheckpoints
        && leavesInMs <= timings.stopTimeoutMs + DRAIN_MARGIN_MS
        && leavesInMs < runTimes.remainingMs(group);
};

type EvictionReason = Exclude<StopReason, "preempted">;

/** Whether a group has to be evicted, by the reason. */
const EVICTION_CHECKS: { readonly [K in EvictionReason]: (context: EvictionContext, group: RunGroup) => boolean; } = {
    stalled: isStalled,
    slow: isSlow,
    draining: isDraining,
};

/** The reasons in the order in which they are checked. */
const REASONS: readonly EvictionReason[] = ["draining", "stalled", "slow"];

const lastProgressOf = ({ executors }: DispatchView): LastProgress => {
    let last: LastProgress = { executorIndex: undefined, at: undefined, atOthers: undefined };
    executors.forEach(({ runs }, executorIndex) => {
        const latest = runs.reduce((at, { progressAt = -Infinity }) => Math.max(at, progressAt), -Infinity);
        if (latest > (last.at ?? -Infinity)) {
            last = { executorIndex, at: latest, atOthers: last.at };
        }
        else if (latest > (last.atOthers ?? -Infinity)) {
            last = { ...last, atOthers: latest };
        }
    });
    return last;
};

/** Finds the groups to evict: stalled ones, slow ones, and those on an executor that is about to leave. */
export const findEvictions = (
    view: DispatchView,
    groups: readonly RunGroup[],
    runTimes: RunTimes,
    options: DispatchOptions,
): readonly Eviction[] => {
    const measurements = measureAll(groups, runTimes, options);
    const measurementsByExecutor = groupBy(measurements, ({ executorIndex }) => executorIndex);
    const context: EvictionContext = {
        view,
        options,
        runTimes,
        lastProgress: lastProgressOf(view),
        measurementsByGroup: groupBy(measurements, ({ group }) => group),
        measurementsByStep: groupMeasurementsByStep(measurements),
        measurementsByExecutor,
        slowness: slownessByExecutor(measurementsByExecutor),
        medianSlowness: median(measurements.map(({ slowness }) => slowness)),
    };
    const findEviction = (group: RunGroup): readonly Eviction[] => {
        // A step that uses idle cores is slowed down by the tasks beside it, so its progress says nothing about the
        // executor.
        const isSpeedMeaningful = !group.step.isLongRunning && !group.step.usesIdleCores;
        const reason = REASONS.find(candidate =>
            (candidate === "draining" || isSpeedMeaningful) && EVICTION_CHECKS[candidate](context, group)
        );
        return reason === undefined ? [] : [{ group, reason }];
    };
    return groups.filter(({ isStopping }) => !isStopping).flatMap(findEviction);
};
