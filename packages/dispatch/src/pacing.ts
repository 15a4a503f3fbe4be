import type { Millis } from "@persimmonpitch/clock/clock.js";

/** A task that serves users beside fillers. */
export interface ServingRun {
    readonly id: string;
    readonly targetMs: Millis;
    /** Tail latency over the last half second; undefined before the first measurement. */
    readonly latencyMs: Millis | undefined;
    /** When it was measured, or when the run was ordered. */
    readonly measuredAt: Millis;
}

/** A filler, with the percentage that was ordered last; undefined if an earlier controller ordered it. */
export interface FillerRun {
    readonly id: string;
    readonly percentage: number | undefined;
}

/** The runs of one executor that pacing concerns. */
export interface PacingView {
    readonly now: Millis;
    /** Time until an order takes effect. */
    readonly paceMs: Millis;
    /** How long a task may be above its target because of fillers. */
    readonly disruptionMs: Millis;
    readonly serving: readonly ServingRun[];
    readonly fillers: readonly FillerRun[];
}

/** Where the worst of the serving tasks stands against its target. */
export type PacingBand = "above" | "between" | "below";

/** What one decision leaves for the next. */
export interface PacingState {
    /** Ids of the runs that were there at the last decision. */
    readonly known: ReadonlySet<string>;
    /** By the last measurement that counted. */
    readonly band: PacingBand | undefined;
    readonly countedAt: Millis;
    readonly changedAt: Millis;
}

/** The percentage for each filler, and what the next decision needs. */
export interface Pacing {
    readonly state: PacingState;
    readonly percentages: ReadonlyMap<string, number>;
}

/** Nothing is known yet. */
export const NO_PACING: PacingState = {
    known: new Set(),
    band: undefined,
    countedAt: -Infinity,
    changedAt: -Infinity,
};

const FULL_PERCENTAGE = 100;
/** A share that an unknown filler may work at until its effect is measured. */
const START_PERCENTAGE = 20;
const RISE_PERCENTAGES = 10;
const FALL_FACTOR = 0.5;
const ABOVE_SHARE = 0.9;
const BELOW_SHARE = 0.7;
/** A measurement covers this time, so one that comes sooner overlaps with its predecessor. */
const MEASURED_MS: Millis = 500;
const MAX_STALE_MS: Millis = 2_000;
/** A fall by half and one to 0 have to follow within the allowed disruption. */
const STALE_SHARE = 0.5;

const bandOf = (serving: readonly ServingRun[]): PacingBand | undefined => {
    const shares = serving.map(({ latencyMs, targetMs }) => latencyMs === undefined ? undefined : latencyMs / targetMs);
    if (shares.some(share => share !== undefined && share >= ABOVE_SHARE)) {
        return "above";
    }
    if (shares.includes(undefined)) {
        return undefined;
    }
    return shares.every(share => share !== undefined && share < BELOW_SHARE) ? "below" : "between";
};

/** The percentage after a measurement, by the band that it is in and the one before. */
const STEPS: { readonly [K in PacingBand]: (percentage: number, before: PacingBand | undefined) => number; } = {
    above: (percentage, before) => before === "above" ? 0 : Math.floor(percentage * FALL_FACTOR),
    between: percentage => percentage,
    below: (percentage, before) =>
        before === "below" ? Math.min(FULL_PERCENTAGE, percentage + RISE_PERCENTAGES) : percentage,
};

/** A filler starts low beside a serving task, and all fillers do when a serving task starts beside them. */
const entryPercentages = (
    { known, band }: PacingState,
    { serving, fillers }: PacingView,
): ReadonlyMap<string, number> => {
    const hasNewServing = serving.some(({ id }) => !known.has(id));
    // A filler that starts while others are held back for a task above its target would disturb it further.
    const startPercentage = band === "above" ? 0 : START_PERCENTAGE;
    return new Map(fillers.map(({ id, percentage = FULL_PERCENTAGE }) => [
        id,
        hasNewServing || !known.has(id) ? Math.min(percentage, startPercentage) : percentage,
    ]));
};

/** Whether the measurement is a new one that shows the last change. */
const isCounted = ({ countedAt, changedAt }: PacingState, { serving, paceMs }: PacingView): boolean => {
    const measuredAt = Math.min(...serving.map(run => run.measuredAt));
    return measuredAt >= countedAt + MEASURED_MS && measuredAt >= changedAt + paceMs + MEASURED_MS;
};

/** Decides at what share of their work the fillers of one executor may go on. */
export const decidePacing = (state: PacingState, view: PacingView): Pacing => {
    const { now, serving, fillers, disruptionMs } = view;
    if (serving.length === 0 || fillers.length === 0) {
        return { state: NO_PACING, percentages: new Map(fillers.map(({ id }) => [id, FULL_PERCENTAGE])) };
    }
    const known = new Set([...serving, ...fillers].map(({ id }) => id));
    const entry = entryPercentages(state, view);
    const staleMs = Math.min(MAX_STALE_MS, disruptionMs * STALE_SHARE);
    const isStale = serving.some(({ measuredAt }) => now - measuredAt > staleMs);
    const band = isCounted(state, view) ? bandOf(serving) : undefined;
    const nextOf = (percentage: number): number => {
        if (isStale) {
            return 0;
        }
        return band === undefined ? percentage : STEPS[band](percentage, state.band);
    };
    const percentages = new Map([...entry].map(([id, percentage]) => [id, nextOf(percentage)]));
    const isChanged = fillers.some(({ id, percentage }) => percentages.get(id) !== percentage);
    return {
        percentages,
        state: {
            known,
            band: isStale ? undefined : band ?? state.band,
            countedAt: band === undefined ? state.countedAt : Math.min(...serving.map(run => run.measuredAt)),
            changedAt: isChanged ? now : state.changedAt,
        },
    };
};
