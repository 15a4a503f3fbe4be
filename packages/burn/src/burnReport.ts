/** The report on objectives: error budget spent, burn rates and percentiles, as JSON. */
import type { Millis } from "@persimmonpitch/clock/clock.js";
import { millisSchema } from "@persimmonpitch/schema/identifier.js";
import * as z from "zod";
import type { BurnRecorder, BurnWindow } from "./burnRecorder.js";
import { BURN_WINDOWS } from "./burnRecorder.js";
import type { GoodBad } from "./countRing.js";
import type { Objective } from "./objective.js";
import { objectiveSchema } from "./objective.js";

const countSchema = z.number().int().nonnegative();
const burnWindowSchema = z.enum(Object.keys(BURN_WINDOWS) as [BurnWindow, ...BurnWindow[]]);

/** How urgently somebody should look. */
export const burnAlertSchema = z.enum(["none", "ticket", "page"]);
export type BurnAlert = z.infer<typeof burnAlertSchema>;

/** Counts over one window. A burn rate of 1 spends exactly the error budget over the budget period. */
export const windowBurnSchema = z.object({
    window: burnWindowSchema,
    good: countSchema,
    bad: countSchema,
    burnRate: z.number().nonnegative(),
});
export type WindowBurn = z.infer<typeof windowBurnSchema>;

/** The report on one class. */
export const classBurnSchema = z.object({
    objective: objectiveSchema,
    good: countSchema,
    bad: countSchema,
    /** Bad requests as a share of those that the objective allows; above 1 the objective is missed. */
    budgetSpent: z.number().nonnegative(),
    windows: z.array(windowBurnSchema),
    alert: burnAlertSchema,
    latencyMs: z.object({
        count: countSchema,
        p50: millisSchema,
        p95: millisSchema,
        p99: millisSchema,
        max: millisSchema,
    }),
});
export type ClassBurn = z.infer<typeof classBurnSchema>;

/** The report of one process. */
export const burnReportSchema = z.object({
    /** Time since the process started; counts cannot reach back further. */
    coveredMs: millisSchema,
    classes: z.array(classBurnSchema),
});
export type BurnReport = z.infer<typeof burnReportSchema>;

interface AlertRule {
    readonly alert: BurnAlert;
    readonly long: BurnWindow;
    /** Ends the alert soon after the fault ends. */
    readonly short: BurnWindow;
    readonly burnRate: number;
}

// Of a 30-day budget, a burn of 14.4 spends 2% in an hour, and a burn of 1 spends 10% in three days.
const ALERT_RULES: readonly AlertRule[] = [
    { alert: "page", long: "1h", short: "5m", burnRate: 14.4 },
    { alert: "ticket", long: "3d", short: "6h", burnRate: 1 },
];

/** Share of bad requests relative to the share that the objective allows. */
const burnRateOf = ({ good, bad }: GoodBad, { goodShare }: Objective): number =>
    bad === 0 ? 0 : bad / (good + bad) / (1 - goodShare);

const alertOf = (windows: readonly WindowBurn[]): BurnAlert => {
    const rateOf = (window: BurnWindow) => windows.find(other => other.window === window)?.burnRate ?? 0;
    const rule = ALERT_RULES.find(({ long, short, burnRate }) => rateOf(long) >= burnRate && rateOf(short) >= burnRate);
    return rule?.alert ?? "none";
};

const classBurnOf = (recorder: BurnRecorder, objective: Objective, now: Millis): ClassBurn => {
    const windows = burnWindowSchema.options.map((window): WindowBurn => {
        const counts = recorder.counts(objective.workClass, BURN_WINDOWS[window], now);
        return { window, ...counts, burnRate: burnRateOf(counts, objective) };
    });
    const counts = recorder.budgetCounts(objective, now);
    return {
        objective,
        ...counts,
        budgetSpent: burnRateOf(counts, objective),
        windows,
        alert: alertOf(windows),
        latencyMs: recorder.latency(objective.workClass, now),
    };
};

/** Makes the report at `now`, in monotonic milliseconds since the process started. */
export const burnReportOf = (recorder: BurnRecorder, now: Millis): BurnReport => ({
    coveredMs: now,
    classes: recorder.objectives.map(objective => classBurnOf(recorder, objective, now)),
});
