/** Counts good and bad requests and their latency for each class that has an objective. */
import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { WorkClass } from "@persimmonpitch/schema/job.js";
import type { Histogram } from "hdr-histogram-js";
import { build } from "hdr-histogram-js";
import type { GoodBad } from "./countRing.js";
import { CountRing } from "./countRing.js";
import type { Objective } from "./objective.js";

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;

/** Windows over which the burn rate is reported. */
export const BURN_WINDOWS = { "5m": 5 * MINUTE_MS, "1h": HOUR_MS, "6h": 6 * HOUR_MS, "3d": 3 * DAY_MS } as const;
export type BurnWindow = keyof typeof BURN_WINDOWS;

// Short windows need fine buckets; 30 days of them would take 40 times the memory, so long windows use hours.
const FINE_BUCKETS = 6 * 60;
const COARSE_BUCKETS = 30 * 24;

/** Percentiles cover the present and the last whole period of this length. */
const LATENCY_PERIOD_MS = HOUR_MS;
const MAX_LATENCY_MS = HOUR_MS;

/** How a request ended, as far as the objective is concerned. */
export type RequestOutcome =
    | "answered"
    | "failed"
    /** Refused for want of capacity: the caller got no answer, so it counts against the objective. */
    | "refused"
    /** Ended by the caller, or refused for the caller's own error; it counts neither way. */
    | "cancelled";

/** Whether the request was good; `undefined` if it does not count. */
const VERDICTS: { readonly [K in RequestOutcome]: (elapsedMs: Millis, withinMs: Millis) => boolean | undefined; } = {
    answered: (elapsedMs, withinMs) => elapsedMs <= withinMs,
    failed: () => false,
    refused: () => false,
    cancelled: () => undefined,
};

/** Latency of the answers in milliseconds. */
export interface LatencySummary {
    readonly count: number;
    readonly p50: Millis;
    readonly p95: Millis;
    readonly p99: Millis;
    readonly max: Millis;
}

const newHistogram = (): Histogram =>
    build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_LATENCY_MS, numberOfSignificantValueDigits: 2 });

/** Latencies in two histograms that take turns, so that old answers leave the percentiles. */
class LatencyRecorder {
    private present = newHistogram();
    private last = newHistogram();
    private period = 0;

    record(elapsedMs: Millis, now: Millis): void {
        this.rotate(now);
        this.present.recordValue(Math.min(MAX_LATENCY_MS, Math.max(0, Math.round(elapsedMs))));
    }

    summary(now: Millis): LatencySummary {
        this.rotate(now);
        const both = newHistogram();
        both.add(this.last);
        both.add(this.present);
        const percentile = (percent: number) => both.totalCount === 0 ? 0 : both.getValueAtPercentile(percent);
        return {
            count: both.totalCount,
            p50: percentile(50),
            p95: percentile(95),
            p99: percentile(99),
            max: percentile(100),
        };
    }

    private rotate(now: Millis): void {
        const period = Math.floor(now / LATENCY_PERIOD_MS);
        if (period <= this.period) {
            return;
        }
        const follows = period === this.period + 1;
        [this.last, this.present] = [follows ? this.present : this.last, follows ? this.last : this.present];
        this.present.reset();
        if (!follows) {
            this.last.reset();
        }
        this.period = period;
    }
}

class ClassRecorder {
    private readonly fine = new CountRing(MINUTE_MS, FINE_BUCKETS);
    private readonly coarse = new CountRing(HOUR_MS, COARSE_BUCKETS);
    readonly latency = new LatencyRecorder();

    constructor(readonly objective: Objective) {}

    record(outcome: RequestOutcome, elapsedMs: Millis, now: Millis): void {
        const isGood = VERDICTS[outcome](elapsedMs, this.objective.withinMs);
        if (isGood === undefined) {
            return;
        }
        this.fine.add(isGood, now);
        this.coarse.add(isGood, now);
        if (outcome === "answered") {
            this.latency.record(elapsedMs, now);
        }
    }

    counts(windowMs: Millis, now: Millis): GoodBad {
        const ring = windowMs <= FINE_BUCKETS * MINUTE_MS ? this.fine : this.coarse;
        return ring.sum(windowMs, now);
    }
}

/** The recorder of one process. Times are monotonic milliseconds since the process started. */
export class BurnRecorder {
    private readonly classes = new Map<WorkClass, ClassRecorder>();

    constructor(readonly objectives: readonly Objective[]) {
        objectives.forEach(objective => {
            this.classes.set(objective.workClass, new ClassRecorder(objective));
        });
    }

    /** Counts a request; a class without an objective is ignored. */
    record(workClass: WorkClass, outcome: RequestOutcome, elapsedMs: Millis, now: Millis): void {
        this.classes.get(workClass)?.record(outcome, elapsedMs, now);
    }

    /** Counts over the window up to now. */
    counts(workClass: WorkClass, windowMs: Millis, now: Millis): GoodBad {
        return this.classes.get(workClass)?.counts(windowMs, now) ?? { good: 0, bad: 0 };
    }

    /** Counts over the objective's budget period. */
    budgetCounts({ workClass, budgetDays }: Objective, now: Millis): GoodBad {
        return this.counts(workClass, budgetDays * DAY_MS, now);
    }

    /** Latency of the answers of the present and the last whole hour. */
    latency(workClass: WorkClass, now: Millis): LatencySummary {
        return this.classes.get(workClass)?.latency.summary(now) ?? { count: 0, p50: 0, p95: 0, p99: 0, max: 0 };
    }
}
