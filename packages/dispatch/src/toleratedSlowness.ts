import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { DeadlineStatus, OccurrenceForecast } from "./occurrenceForecasts.js";
import { isUrgent } from "./readyUnits.js";
import type { RankedUnit } from "./unitOrder.js";

/** Share of the slack that a slow executor may use up; the rest covers errors of the estimates. */
const USABLE_SLACK_SHARE = 0.8;

/** Time that a unit can lose without loss of value, by the deadline status of its occurrence. */
const SPARE_MS_BY_STATUS: { readonly [K in DeadlineStatus]: (forecast: OccurrenceForecast) => Millis; } = {
    onTime: ({ slackMs }) => slackMs,
    // Late work earns the same until its late slack ends, so it leaves normal executors to work that can be on time.
    late: ({ lateSlackMs }) => lateSlackMs,
    hopeless: () => Infinity,
};

/**
 * The slowness of executors up to which a unit loses no value there. Addresses jobs with an allowed time of 1.5 times
 * their run time, which are late from the start on an executor that is 2.4 times slower.
 */
export const toleratedSlowness = ({ unit, forecast }: RankedUnit, durationMs: Millis): number => {
    if (unit.step.isLongRunning) {
        return isUrgent(unit) || unit.step.targetMs !== undefined ? 1 : Infinity;
    }
    const spareMs = SPARE_MS_BY_STATUS[forecast.deadlineStatus](forecast);
    return 1 + USABLE_SLACK_SHARE * Math.max(0, spareMs) / Math.max(1, durationMs);
};
