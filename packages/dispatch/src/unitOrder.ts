import { byPriority, type DispatchOptions, type UnitOrder } from "./dispatchOptions.js";
import type { JobView } from "./dispatchView.js";
import { groupBy } from "./groupBy.js";
import { compareByStart, isGuaranteedStart } from "./guarantees.js";
import { type DeadlineStatus, type OccurrenceForecast, occurrenceId } from "./occurrenceForecasts.js";
import type { OpenOccurrence } from "./openOccurrences.js";
import type { ReadyUnit } from "./readyUnits.js";

/** A ready unit with its rank. */
export interface RankedUnit {
    readonly unit: ReadyUnit;
    readonly forecast: OccurrenceForecast;
    readonly isGuaranteed: boolean;
    /** Units with lower tiers come first. */
    readonly tier: number;
    /** Within a tier, units with lower ranks come first. */
    readonly rank: number;
}

/** Raises the value of the largest jobs of a queue, which fit least often. */
const LARGE_JOB_FACTOR = 1.5;

/** Share of the jobs of a queue that count as its largest jobs. */
const LARGE_SHARE = 0.1;

const GUARANTEED_TIER = 0;
const URGENT_TIER = 1;
const ORDINARY_TIER = 2;
const HOPELESS_TIER = 3;

interface Rank {
    readonly tier: number;
    readonly rank: number;
}

/** Value per core-second, discounted by the slack: the apparent tardiness cost (ATC) rule for weighted tardiness. */
const tardinessIndex = (
    value: number,
    remainingWork: number,
    slackMs: number,
    { urgencyScaleMs }: DispatchOptions,
): number => value / Math.max(1, remainingWork) * Math.exp(-Math.max(0, slackMs) / urgencyScaleMs);

/** Rank of ordinary work that can be on time, by the rule of the order; lower ranks come first. */
const ORDINARY_RANKS: {
    readonly [K in UnitOrder]: (forecast: OccurrenceForecast, factor: number, options: DispatchOptions) => number;
} = {
    weightedTardiness: ({ value, remainingWork, slackMs }, factor, options) =>
        -tardinessIndex(factor * value, remainingWork, slackMs, options),
    valuePerWork: ({ value, remainingWork }, factor) => -factor * value / Math.max(1, remainingWork),
    earliestDeadline: ({ dueInMs }) => dueInMs,
    leastSlack: ({ slackMs }) => slackMs,
};

type RankHandler = (forecast: OccurrenceForecast, priority: number, factor: number, options: DispatchOptions) => Rank;

/** Computes the rank of a unit by the deadline status of its occurrence. */
const RANK_BY_STATUS: { readonly [K in DeadlineStatus]: RankHandler; } = {
    onTime: (forecast, priority, factor, options) =>
        priority === 0
            ? { tier: URGENT_TIER, rank: forecast.slackMs }
            : { tier: ORDINARY_TIER, rank: ORDINARY_RANKS[options.unitOrder](forecast, factor, options) },
    // Late work competes by the value that it can still earn, without a discount for its remaining slack: a large job
    // that missed its deadline would otherwise wait behind all work that can still be on time.
    late: ({ value, remainingWork }, priority, factor, options) => {
        const lateValue = factor * value * byPriority(options.lateValueShareByPriority, priority);
        return { tier: ORDINARY_TIER, rank: -tardinessIndex(lateValue, remainingWork, 0, options) };
    },
    hopeless: ({ lateSlackMs }) => ({ tier: HOPELESS_TIER, rank: -lateSlackMs }),
};

/** Long-running steps have no deadline, so only their priority counts. */
const longRunningRank = (priority: number): Rank => ({
    tier: priority === 0 ? URGENT_TIER : ORDINARY_TIER,
    rank: priority,
});

const acceleratorsOf = ({ job }: JobView): number =>
    job.steps.reduce((most, { count, demand }) => Math.max(most, count * demand.accelerators), 0);

/** Number of accelerators above which a job counts as one of the largest of its queue. */
const largeSizes = (jobs: readonly JobView[]): ReadonlyMap<string, number> => {
    const byQueue = groupBy(jobs, ({ queue }) => queue.name);
    const largeSize = (views: readonly JobView[]): number => {
        const descending = views.map(acceleratorsOf).sort((left, right) => right - left);
        return descending[Math.floor(descending.length * LARGE_SHARE)] ?? 0;
    };
    return new Map([...byQueue].map(([queue, views]) => [queue, largeSize(views)]));
};

const compareUnits = (left: RankedUnit, right: RankedUnit): number =>
    left.tier - right.tier
    || left.rank - right.rank
    || compareByStart(left.unit.openOccurrence, right.unit.openOccurrence)
    || left.unit.stepIndex - right.unit.stepIndex;

/**
 * Orders the units: guaranteed starts, other urgent work, then other work by the value it earns, and hopeless work
 * last.
 */
export const orderUnits = (
    units: readonly ReadyUnit[],
    occurrences: readonly OpenOccurrence[],
    forecasts: ReadonlyMap<string, OccurrenceForecast>,
    guaranteed: ReadonlySet<string>,
    options: DispatchOptions,
): readonly RankedUnit[] => {
    const large = largeSizes(occurrences.map(({ view }) => view));
    const rankUnit = (unit: ReadyUnit): readonly RankedUnit[] => {
        const forecast = forecasts.get(occurrenceId(unit.openOccurrence));
        if (forecast === undefined) {
            return [];
        }
        const { view } = unit.openOccurrence;
        const { name, priority } = view.queue;
        if (isGuaranteedStart(guaranteed, unit)) {
            // Guaranteed units must claim resources in the same order in every pass, so their slack does not count.
            return [{ unit, forecast, isGuaranteed: true, tier: GUARANTEED_TIER, rank: 0 }];
        }
        const factor = acceleratorsOf(view) > (large.get(name) ?? 0) ? LARGE_JOB_FACTOR : 1;
        const rank = unit.step.isLongRunning
            ? longRunningRank(priority)
            : RANK_BY_STATUS[forecast.deadlineStatus](forecast, priority, factor, options);
        return [{ unit, forecast, isGuaranteed: false, ...rank }];
    };
    return units.flatMap(rankUnit).sort(compareUnits);
};
