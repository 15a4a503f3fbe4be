import { alignTable } from "./report.js";
import { runSteps, type StepsRun } from "./stepsBench.js";
import { STEPS_IDEAS } from "./stepsIdeas.js";
import type { StepsDeployment } from "./stepsProfile.js";

/** One idea over all seeds and kinds of day. */
export interface StepsAblationRow {
    readonly idea: string;
    readonly meanWith: number;
    readonly meanWithout: number;
    /** Mean of the differences of single days, and its standard error. */
    readonly gain: number;
    readonly gainError: number;
    readonly betterDays: number;
    readonly worseDays: number;
    /** Broken guarantees with the idea and without it. */
    readonly lateWith: number;
    readonly lateWithout: number;
}

const DIGITS = 3;

const mean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

const standardError = (values: readonly number[]): number => {
    const middle = mean(values);
    const squares = values.reduce((sum, value) => sum + (value - middle) ** 2, 0);
    return Math.sqrt(squares / Math.max(1, values.length - 1) / Math.max(1, values.length));
};

/** Compares pairs of replays of the same days. */
export const compareRuns = (
    idea: string,
    on: readonly StepsRun[],
    off: readonly StepsRun[],
): StepsAblationRow => {
    const onScores = on.map(({ measures }) => measures.score);
    const offScores = off.map(({ measures }) => measures.score);
    const gains = onScores.map((score, index) => score - (offScores[index] ?? score));
    const countLate = (runs: readonly StepsRun[]): number =>
        runs.reduce((sum, { lateGuarantees }) => sum + lateGuarantees.length, 0);
    return {
        idea,
        meanWith: mean(onScores),
        meanWithout: mean(offScores),
        gain: mean(gains),
        gainError: standardError(gains),
        betterDays: gains.filter(gain => gain > 0).length,
        worseDays: gains.filter(gain => gain < 0).length,
        lateWith: countLate(on),
        lateWithout: countLate(off),
    };
};

/** Replays the days of `seeds` seeds from `seed` on with and without each idea. */
export const runStepsAblation = (
    deployment: StepsDeployment,
    seed: number,
    seeds: number,
    ideas: readonly string[],
): readonly StepsAblationRow[] => {
    const all = Array.from({ length: seeds }, (_, index) => seed + index);
    const on = all.flatMap(one => runSteps(deployment, one));
    return ideas.map(idea => compareRuns(idea, on, all.flatMap(one => runSteps(deployment, one, STEPS_IDEAS[idea]))));
};

/** The rows as aligned text. */
export const formatStepsAblation = (rows: readonly StepsAblationRow[]): string =>
    alignTable([
        ["idea", "with", "without", "gain", "error", "better days", "worse days", "late with", "late without"],
        ...rows.map(row => [
            row.idea,
            ...[row.meanWith, row.meanWithout, row.gain, row.gainError].map(value => value.toFixed(DIGITS)),
            ...[row.betterDays, row.worseDays, row.lateWith, row.lateWithout].map(String),
        ]),
    ]);
