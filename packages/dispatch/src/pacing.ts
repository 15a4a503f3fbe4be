import type { Millis } from "@persimmonpitch/clock/clock.js";

/** A run that serves users and shares its executor with background runs. */
export interface ServingRun {
    readonly id: string;
    readonly targetMs: Millis;
    /** Tail latency over the last measurement window; undefined before the first measurement. */
    readonly latencyMs: Millis | undefined;
    /** Time of the measurement, or of the order to start the run before the first measurement. */
    readonly measuredAt: Millis;
}

/**
 * A background run uses idle cores and is slowed down when it disturbs serving runs. `percentage` is the share of full
 * speed that was ordered last, undefined if an earlier controller may have ordered it.
 */
export interface BackgroundRun {
    readonly id: string;
    readonly percentage: number | undefined;
}

/** Serving runs and background runs of one executor. */
export interface PacingView {
    readonly now: Millis;
    /** Time until an order to a background run takes effect. */
    readonly paceMs: Millis;
    /** How long background runs may keep a serving run above its target latency. */
    readonly disruptionMs: Millis;
    readonly serving: readonly ServingRun[];
    readonly backgroundRuns: readonly BackgroundRun[];
}

/** Band of the highest latency of the serving runs, relative to their targets. */
export type PacingBand = "above" | "between" | "below";

/** State of the pacing of one executor between two decisions. */
export interface PacingState {
    /** Ids of the runs at the last decision. */
    readonly knownIds: ReadonlySet<string>;
    /** Band of the last measurement that was used. */
    readonly band: PacingBand | undefined;
    readonly lastMeasuredAt: Millis;
    /** When a percentage was last changed. */
    readonly changedAt: Millis;
}

/** The percentage of each background run, by its id, and the state for the next decision. */
export interface Pacing {
    readonly state: PacingState;
    readonly percentages: ReadonlyMap<string, number>;
}

/** State before the first decision. */
export const INITIAL_PACING: PacingState = {
    knownIds: new Set(),
    band: undefined,
    lastMeasuredAt: -Infinity,
    changedAt: -Infinity,
};

const FULL_PERCENTAGE = 100;

/** Speed of a new background run until its effect on the serving runs is measured. */
const INITIAL_PERCENTAGE = 20;
const INCREASE_PERCENTAGE_POINTS = 10;
const DECREASE_FACTOR = 0.5;

/** Limits of the bands, as shares of the target latency. */
const ABOVE_BAND_MIN_SHARE = 0.9;
const BELOW_BAND_MAX_SHARE = 0.7;

/** Time that a measurement covers. Measurements closer together overlap. */
const MEASUREMENT_WINDOW_MS: Millis = 500;

const MAX_MEASUREMENT_AGE_MS: Millis = 2_000;

/**
 * Maximum age of a measurement as a share of the allowed disruption, in which a decrease by half and one to 0 must fit.
 */
const MEASUREMENT_AGE_SHARE = 0.5;

/** Undefined if a latency is not measured yet and no other latency is in the band above. */
const bandOf = (serving: readonly ServingRun[]): PacingBand | undefined => {
    const shares = serving.map(({ latencyMs, targetMs }) => latencyMs === undefined ? undefined : latencyMs / targetMs);
    if (shares.some(share => share !== undefined && share >= ABOVE_BAND_MIN_SHARE)) {
        return "above";
    }
    if (shares.includes(undefined)) {
        return undefined;
    }
    return shares.every(share => share !== undefined && share < BELOW_BAND_MAX_SHARE) ? "below" : "between";
};

/** Computes the next percentage of a background run from the band of a measurement and the band before it. */
const NEXT_PERCENTAGES: {
    readonly [K in PacingBand]: (percentage: number, before: PacingBand | undefined) => number;
} = {
    above: (percentage, before) => before === "above" ? 0 : Math.floor(percentage * DECREASE_FACTOR),
    between: percentage => percentage,
    below: (percentage, before) =>
        before === "below" ? Math.min(FULL_PERCENTAGE, percentage + INCREASE_PERCENTAGE_POINTS) : percentage,
};

/**
 * Percentages before the measurement is considered. New background runs, and all of them beside a new serving run,
 * start low.
 */
const initialPercentages = (
    { knownIds, band }: PacingState,
    { serving, backgroundRuns }: PacingView,
): ReadonlyMap<string, number> => {
    const hasNewServing = serving.some(({ id }) => !knownIds.has(id));
    // A new background run would disturb a serving run above its target even more, so it has to wait until the latency
    // falls.
    const maxInitialPercentage = band === "above" ? 0 : INITIAL_PERCENTAGE;
    return new Map(backgroundRuns.map(({ id, percentage = FULL_PERCENTAGE }) => [
        id,
        hasNewServing || !knownIds.has(id) ? Math.min(percentage, maxInitialPercentage) : percentage,
    ]));
};

/** Whether the measurement overlaps neither the last one used nor the time before the last change took effect. */
const isNewMeasurement = ({ lastMeasuredAt, changedAt }: PacingState, { serving, paceMs }: PacingView): boolean => {
    const measuredAt = Math.min(...serving.map(run => run.measuredAt));
    return measuredAt >= lastMeasuredAt + MEASUREMENT_WINDOW_MS
        && measuredAt >= changedAt + paceMs + MEASUREMENT_WINDOW_MS;
};

/** Decides at what share of full speed the background runs of one executor may run. */
export const decidePacing = (state: PacingState, view: PacingView): Pacing => {
    const { now, serving, backgroundRuns, disruptionMs } = view;
    if (serving.length === 0 || backgroundRuns.length === 0) {
        return { state: INITIAL_PACING, percentages: new Map(backgroundRuns.map(({ id }) => [id, FULL_PERCENTAGE])) };
    }
    const knownIds = new Set([...serving, ...backgroundRuns].map(({ id }) => id));
    const initial = initialPercentages(state, view);
    const maxAgeMs = Math.min(MAX_MEASUREMENT_AGE_MS, disruptionMs * MEASUREMENT_AGE_SHARE);
    const isStale = serving.some(({ measuredAt }) => now - measuredAt > maxAgeMs);
    const band = isNewMeasurement(state, view) ? bandOf(serving) : undefined;
    const nextPercentage = (percentage: number): number => {
        if (isStale) {
            return 0;
        }
        return band === undefined ? percentage : NEXT_PERCENTAGES[band](percentage, state.band);
    };
    const percentages = new Map([...initial].map(([id, percentage]) => [id, nextPercentage(percentage)]));
    const isChanged = backgroundRuns.some(({ id, percentage }) => percentages.get(id) !== percentage);
    return {
        percentages,
        state: {
            knownIds,
            band: isStale ? undefined : band ?? state.band,
            lastMeasuredAt: band === undefined ? state.lastMeasuredAt : Math.min(...serving.map(run => run.measuredAt)),
            changedAt: isChanged ? now : state.changedAt,
        },
    };
};
