import type { Millis } from "@persimmonpitch/clock/clock.js";
import { groupBy } from "@persimmonpitch/dispatch/groupBy.js";
import { earnedBy, type JobClaim } from "./stepsJudgement.js";
import type { StepsDeployment } from "./stepsProfile.js";
import type { DayResult } from "./stepsReplay.js";

const WINDOW_MS: Millis = 4_000;
const WORST_WINDOWS = 2;
const LOST_CORE_SECOND_COST = 0.0022;
const START_COST = 0.0029;
const MAX_NINES = 3;

/** The largest jobs of a queue, and those below them, count as queues of their own. */
const LARGEST_SHARE = 0.1;
const LARGE_SHARE = 0.3;

/** Parts of a score, each from 0 to 1, and costs as a share of what is owed. */
export interface StepsMeasures {
    readonly score: number;
    readonly day: number;
    readonly windows: number;
    readonly queue: number;
    readonly team: number;
    readonly nines: number;
    readonly costs: number;
}

type Parts = Omit<StepsMeasures, "score">;

/** Weight of each part; the costs are taken off whole. */
const WEIGHTS: { readonly [K in StepsDeployment]: Parts; } = {
    cooperative: { day: 0.35, windows: 0.5, queue: 0.15, team: 0.2, nines: 0, costs: -1 },
    lentesud: { day: 0.4, windows: 0.15, queue: 0.1, team: 0.2, nines: 0.35, costs: -1 },
};

interface Outcome {
    readonly claim: JobClaim;
    readonly earned: number;
}

const owedTo = (outcomes: readonly Outcome[]): number => outcomes.reduce((sum, { claim }) => sum + claim.worth, 0);

const share = (outcomes: readonly Outcome[]): number =>
    outcomes.length === 0 ? 1 : outcomes.reduce((sum, { earned }) => sum + earned, 0) / owedTo(outcomes);

const worstOf = (outcomes: readonly Outcome[], groupOf: (claim: JobClaim) => string): readonly number[] =>
    [...groupBy(outcomes, ({ claim }) => groupOf(claim)).values()].map(share).sort((left, right) => left - right);

const mean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

const sizeClasses = (outcomes: readonly Outcome[]): ReadonlyMap<JobClaim, string> => {
    const byQueue = groupBy(outcomes.map(({ claim }) => claim), ({ queue }) => queue);
    return new Map(
        [...byQueue.values()].flatMap(claims =>
            [...claims].sort((left, right) => right.work - left.work).map((claim, index) => {
                const rank = index / claims.length;
                const size = rank < LARGEST_SHARE ? "largest" : rank < LARGE_SHARE ? "large" : "other";
                return [claim, `${claim.queue} ${size}`] as const;
            })
        ),
    );
};

/** Judges what came of a day. */
export const scoreDay = (
    deployment: StepsDeployment,
    claims: readonly JobClaim[],
    { records, costs }: DayResult,
): StepsMeasures => {
    const outcomes = claims.map(claim => ({ claim, earned: earnedBy(claim, records.get(claim.jobId)?.endedAt) }));
    const windows = worstOf(outcomes, ({ acceptedAt }) => String(Math.floor(acceptedAt / WINDOW_MS)));
    const sizes = sizeClasses(outcomes);
    const unserved = outcomes.filter(({ earned }) => earned === 0).length / Math.max(1, outcomes.length);
    const parts: Parts = {
        day: share(outcomes),
        windows: mean(windows.slice(0, WORST_WINDOWS)),
        queue: worstOf(outcomes, claim => sizes.get(claim) ?? "")[0] ?? 1,
        team: worstOf(outcomes, ({ team }) => team)[0] ?? 1,
        nines: Math.min(1, Math.log10(1 / Math.max(unserved, 10 ** -MAX_NINES)) / MAX_NINES),
        costs: (LOST_CORE_SECOND_COST * costs.lostCoreSeconds + START_COST * costs.starts) / owedTo(outcomes),
    };
    const weights = WEIGHTS[deployment];
    const names = Object.keys(parts) as (keyof Parts)[];
    return { score: names.reduce((sum, name) => sum + weights[name] * parts[name], 0), ...parts };
};
