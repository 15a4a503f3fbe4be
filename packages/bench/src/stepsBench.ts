import type { DispatchOptions } from "@persimmonpitch/dispatch/dispatchOptions.js";
import { alignTable } from "./report.js";
import { claimsOf } from "./stepsJudgement.js";
import { STEPS_PROFILES, type StepsDeployment } from "./stepsProfile.js";
import { replayDay } from "./stepsReplay.js";
import { lateGuarantees } from "./stepsRules.js";
import { scoreDay, type StepsMeasures } from "./stepsScore.js";
import { makeDay } from "./stepsTrace.js";
import { type DayKind, dayKindSchema } from "./stepsTraceSchema.js";

/** One replayed day. */
export interface StepsRun {
    readonly kind: DayKind;
    readonly jobs: number;
    readonly measures: StepsMeasures;
    /** Jobs that did not start in the time of their guarantee. */
    readonly lateGuarantees: readonly string[];
}

/** Replays the day of a seed, of each kind. */
export const runSteps = (
    deployment: StepsDeployment,
    seed: number,
    options: Partial<DispatchOptions> = {},
): readonly StepsRun[] =>
    dayKindSchema.options.map(kind => {
        const day = makeDay(deployment, seed, kind);
        const { queues } = STEPS_PROFILES[deployment];
        const result = replayDay(day, queue => queues[queue]?.failures ?? 0, options);
        return {
            ...{ kind, jobs: day.jobs.length },
            measures: scoreDay(deployment, claimsOf(day), result),
            lateGuarantees: lateGuarantees(day, result),
        };
    });

const DIGITS = 3;

/** Parts of the score, in the order in which they are printed. */
export const STEPS_MEASURES: readonly (keyof StepsMeasures)[] = [
    ...["score", "day", "windows", "queue", "team", "nines", "costs"] as const,
];

/** The measures as aligned text, with the broken rules. */
export const formatSteps = (runs: readonly StepsRun[]): string =>
    [
        alignTable([
            ["day", "jobs", ...STEPS_MEASURES],
            ...runs.map(({ kind, jobs, measures }) => [
                kind,
                String(jobs),
                ...STEPS_MEASURES.map(name => measures[name].toFixed(DIGITS)),
            ]),
        ]),
        ...runs.flatMap(({ kind, lateGuarantees: late }) =>
            late.map(text => `${kind}: late for its guarantee: ${text}`)
        ),
    ].join("\n");
