import type { Millis } from "@persimmonpitch/clock/clock.js";

/** Rule by which work within its deadlines is ordered. */
export type UnitOrder = "weightedTardiness" | "valuePerWork" | "earliestDeadline" | "leastSlack";

/** Parameters of the decisions. */
export interface DispatchOptions {
    /** Value of a job of mean work, by the priority of its queue; the last entry applies to all further priorities. */
    readonly valueByPriority: readonly number[];
    /** Share of its value that a late job still earns, by priority. */
    readonly lateValueShareByPriority: readonly number[];
    /** Order of the work that is neither guaranteed nor urgent. */
    readonly unitOrder: UnitOrder;
    /** Cost of one core-second of lost work. */
    readonly lostCoreSecondCost: number;
    /**
     * Factor by which the gain of a preemption must exceed its cost. Below 2, estimation errors make preemption a net
     * loss.
     */
    readonly preemptionMargin: number;
    /**
     * Whether a stop of a run with checkpoints costs the time since the last one; otherwise it costs a whole interval.
     */
    readonly countsTimeSinceCheckpoint: boolean;
    /** Whether urgent work waits for running work to complete, if that is in time, before it preempts other work. */
    readonly waitsBeforePreemption: boolean;
    /**
     * Added to the cost by which victims are chosen for each earlier start of the task, and for the mean of the earlier
     * starts of its step, as a share of the cost of losing a whole run. At 0.1, a run that was restarted once and has
     * just begun ranks with a first run that is a tenth done.
     */
    readonly repeatedStopShare: number;
    /** A run whose task was started more often than this is stopped for a guarantee only if nothing else suffices. */
    readonly maxPreemptedRuns: number;
    /**
     * Whether urgent work that would be late on slower executors preempts other work before it tries to start there.
     */
    readonly preemptsBeforeFallback: boolean;
    /** Slack at which the urgency of a job has fallen to 1/e. */
    readonly urgencyScaleMs: Millis;
    /** Negative slack that still counts as on time, as a share of the estimated run time, which is inexact. */
    readonly onTimeTolerance: number;
    /** Maximum number of units with a reservation per pass, as each reservation leaves resources idle. */
    readonly maxReservations: number;
    /** Maximum number of units for which a pass searches a future fit and victims; bounds the duration of a pass. */
    readonly maxSearches: number;
    /**
     * Number of these searches that rotate among the units that would get none by their rank. Without them, work that
     * fits on slower executors never starts behind as many blocked units as a pass has searches.
     */
    readonly maxSearchTurns: number;
    /**
     * Number of executor sets, such as racks, that such a search covers first, those with the most free accelerators.
     */
    readonly maxSearchedSets: number;
    /** Number of executors of one set that such a search covers first, those with the most free accelerators. */
    readonly maxSearchedExecutors: number;
    /** How long an executor that fails the runs of all jobs gets no tasks before it is probed with a task or gang. */
    readonly probeAfterMs: Millis;
    /** How long such an executor gets one task or gang at a time; afterwards it only ranks behind others. */
    readonly probeForMs: Millis;
    /** How long an executor is ranked behind others after a run on it was interrupted. */
    readonly suspectMs: Millis;
    /** How long a task avoids an executor on which it failed. */
    readonly avoidAfterFailureMs: Millis;
    /** Minimum time without progress that counts as a stall; progress is reported about once per second. */
    readonly stallMs: Millis;
    /** Minimum time that an eviction must gain. */
    readonly minEvictionGainMs: Millis;
    /** Minimum gain of an eviction as a share of the remaining time. */
    readonly minEvictionGainShare: number;
    /** Factor by which a run must be slower than comparable runs to count as slow. */
    readonly slowFactor: number;
}

export const DEFAULT_DISPATCH_OPTIONS: DispatchOptions = {
    valueByPriority: [4, 3, 1],
    lateValueShareByPriority: [0.15, 0.33],
    unitOrder: "weightedTardiness",
    lostCoreSecondCost: 0.0022,
    preemptionMargin: 2,
    countsTimeSinceCheckpoint: true,
    waitsBeforePreemption: true,
    repeatedStopShare: 0.1,
    maxPreemptedRuns: 3,
    preemptsBeforeFallback: true,
    urgencyScaleMs: 4_000,
    onTimeTolerance: 0.6,
    maxReservations: 4,
    maxSearches: 12,
    maxSearchTurns: 4,
    maxSearchedSets: 8,
    maxSearchedExecutors: 32,
    probeAfterMs: 5_000,
    probeForMs: 15_000,
    suspectMs: 10_000,
    avoidAfterFailureMs: 5_000,
    stallMs: 2_500,
    minEvictionGainMs: 1_500,
    minEvictionGainShare: 0.3,
    slowFactor: 3,
};

/**
 * Preempts for a guarantee at once, and chooses victims without regard to earlier stops. Runs that have just saved their
 * work are then not cheaper either, because nothing would keep the same run from being stopped again and again.
 */
export const PREEMPTS_AT_ONCE: Partial<DispatchOptions> = {
    countsTimeSinceCheckpoint: false,
    waitsBeforePreemption: false,
    repeatedStopShare: 0,
    maxPreemptedRuns: Infinity,
};

/** The entry of a table for a priority; the last entry applies to all further priorities. */
export const byPriority = (table: readonly number[], priority: number): number =>
    table[Math.min(priority, table.length - 1)] ?? 0;
