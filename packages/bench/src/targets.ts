import type { BenchRun, PolicyRun } from "./benchRun.js";
import type { PolicyName } from "./policies.js";
import type { DeploymentName } from "./traceSchema.js";

/** One target of section 12 for one policy. */
export interface TargetRow {
    readonly measure: string;
    readonly unit: Unit;
    readonly value: number;
    readonly bound: number;
    readonly ok: boolean;
}

/** How a value is printed. */
export type Unit = "ms" | "share" | "ratio" | "count";

const SECOND_MS = 1_000;
const MEAN_OF_FIFO = 0.6;
const MEAN_OF_BACKFILL = 0.85;
const RENDERS_OF_ALONE = 1.2;
const FRAGMENTATION_OF_FIFO = 0.5;
const URGENT_START_MS = 3_400;
const RECLAIM_BEYOND_GRACE_MS = SECOND_MS;
const LOST_SHARE = 0.03;

interface Comparison {
    readonly value: number;
    readonly bound: number;
}

interface Target {
    readonly measure: string;
    readonly unit: Unit;
    readonly deployments: readonly DeploymentName[];
    /** Value and bound, or undefined if the run lacks what the target is compared with. */
    readonly evaluate: (run: PolicyRun, bench: BenchRun) => Comparison | undefined;
}

const ALL: readonly DeploymentName[] = ["cooperative", "lentesud", "plan"];

const against = (
    { policies }: BenchRun,
    baseline: PolicyName,
    value: number,
    factor: number,
    of: (run: PolicyRun) => number,
) => {
    const reference = policies.get(baseline);
    return reference === undefined ? undefined : { value, bound: factor * of(reference) };
};

const meanOf = ({ measures }: PolicyRun): number => measures.completion.meanMs;

/** The targets that concern jobs, in the order of section 12. */
export const TARGETS: readonly Target[] = [
    {
        measure: "mean completion, 0.6 of FIFO first fit",
        unit: "ms",
        deployments: ["cooperative"],
        evaluate: (run, bench) => against(bench, "fifoFirstFit", meanOf(run), MEAN_OF_FIFO, meanOf),
    },
    {
        measure: "mean completion, 0.85 of backfill",
        unit: "ms",
        deployments: ["cooperative"],
        evaluate: (run, bench) => against(bench, "fifoBackfill", meanOf(run), MEAN_OF_BACKFILL, meanOf),
    },
    {
        measure: "quick renders p99, 1.2 of renders alone",
        unit: "ms",
        deployments: ["cooperative"],
        evaluate: ({ renders }) =>
            renders === undefined
                ? undefined
                : { value: renders.saturatedMs, bound: RENDERS_OF_ALONE * renders.aloneMs },
    },
    {
        measure: "fragmentation, 0.5 of FIFO first fit",
        unit: "share",
        deployments: ["lentesud"],
        evaluate: (run, bench) =>
            against(
                bench,
                "fifoFirstFit",
                run.measures.fragmentation,
                FRAGMENTATION_OF_FIFO,
                ({ measures }) => measures.fragmentation,
            ),
    },
    {
        measure: "late needed-by jobs that were feasible",
        unit: "count",
        deployments: ALL,
        evaluate: ({ measures }) => ({ value: measures.neededBy.lateFeasible, bound: 0 }),
    },
    {
        measure: "urgent within guarantee, longest start",
        unit: "ms",
        deployments: ["plan"],
        evaluate: ({ measures }) => ({ value: measures.guaranteeDelay.maxMs, bound: URGENT_START_MS }),
    },
    {
        measure: "reclaim, longest, grace plus 1 s",
        unit: "ms",
        deployments: ALL,
        evaluate: ({ measures, result }) => ({
            value: measures.reclaimDelay.maxMs,
            bound: result.trace.deployment.rules.preemptionGraceMs + RECLAIM_BEYOND_GRACE_MS,
        }),
    },
    {
        measure: "head-of-queue waits of gangs of 16 over bound",
        unit: "count",
        deployments: ALL,
        evaluate: ({ measures }) => ({ value: measures.headWait.overBound, bound: 0 }),
    },
    {
        measure: "accelerator time lost to preemption and restart",
        unit: "share",
        deployments: ALL,
        evaluate: ({ measures }) => ({ value: measures.lostToPreemption + measures.lostToFaults, bound: LOST_SHARE }),
    },
];

/** The rows of one policy. */
export const targetRows = (bench: BenchRun, name: PolicyName): TargetRow[] => {
    const run = bench.policies.get(name);
    if (run === undefined) {
        return [];
    }
    return TARGETS.filter(({ deployments }) => deployments.includes(bench.trace.deployment.name)).flatMap(
        ({ measure, unit, evaluate }) => {
            const found = evaluate(run, bench);
            return found === undefined ? [] : [{ measure, unit, ...found, ok: found.value <= found.bound }];
        },
    );
};
