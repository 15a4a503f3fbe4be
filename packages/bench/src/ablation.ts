import type { BenchRun, RunOptions } from "./benchRun.js";
import { runBench } from "./benchRun.js";
import type { Measures } from "./measuresSchema.js";
import { alignTable, formatValue } from "./report.js";
import type { Unit } from "./targets.js";

/** Measures that decide whether an idea is kept; smaller is better in all of them. */
const ABLATION_MEASURES: readonly {
    readonly label: string;
    readonly unit: Unit;
    readonly of: (measures: Measures) => number;
}[] = [
    { label: "mean completion", unit: "ms", of: ({ completion }) => completion.meanMs },
    { label: "interactive p99", unit: "ms", of: ({ completionByClass }) => completionByClass.interactive.p99Ms },
    { label: "fragmentation", unit: "share", of: ({ fragmentation }) => fragmentation },
    { label: "scatter", unit: "share", of: ({ scatter }) => scatter },
    { label: "time lost", unit: "share", of: ({ lostToPreemption, lostToFaults }) => lostToPreemption + lostToFaults },
    { label: "late and feasible", unit: "count", of: ({ neededBy }) => neededBy.lateFeasible },
    { label: "reclaim, longest", unit: "ms", of: ({ reclaimDelay }) => reclaimDelay.maxMs },
    { label: "head waits over bound", unit: "count", of: ({ headWait }) => headWait.overBound },
    { label: "unfairness (1 - Jain)", unit: "share", of: ({ jainIndex }) => 1 - jainIndex },
];

/** One idea and one measure over all seeds. */
export interface AblationRow {
    readonly idea: string;
    readonly measure: string;
    readonly unit: Unit;
    readonly meanWith: number;
    readonly meanWithout: number;
    /** Seeds on which the measure is smaller with the idea, and on which it is larger. */
    readonly betterSeeds: number;
    readonly worseSeeds: number;
}

/** Which ideas to switch off, one at a time, and over how many seeds. */
export interface AblationOptions extends Omit<RunOptions, "policies" | "options"> {
    readonly seeds: number;
    readonly ideas: readonly string[];
}

const mean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

const measuresOf = ({ policies, broken }: BenchRun): Measures => {
    const run = policies.get("persimmonpitch");
    if (run === undefined) {
        throw new Error(`no measures for an ablation: ${broken.get("persimmonpitch") ?? "the policy was not run"}`);
    }
    return run.measures;
};

/** Replays the real policy with and without each idea over `seeds` seeds from `seed` on. */
export const runAblation = ({ seeds, ideas, seed, ...rest }: AblationOptions): AblationRow[] => {
    const runAll = (options: RunOptions["options"]) =>
        Array.from(
            { length: seeds },
            (_, index) => measuresOf(runBench({ ...rest, seed: seed + index, policies: ["persimmonpitch"], options })),
        );
    const withAll = runAll({});
    return ideas.flatMap(idea => {
        const without = runAll({ [idea]: false });
        return ABLATION_MEASURES.map(({ label, unit, of }): AblationRow => {
            const onValues = withAll.map(of);
            const offValues = without.map(of);
            const countSeeds = (isCounted: (on: number, off: number) => boolean) =>
                onValues.filter((on, index) => isCounted(on, offValues[index] ?? on)).length;
            return {
                idea,
                measure: label,
                unit,
                meanWith: mean(onValues),
                meanWithout: mean(offValues),
                betterSeeds: countSeeds((on, off) => on < off),
                worseSeeds: countSeeds((on, off) => on > off),
            };
        });
    });
};

/** The rows as aligned text. */
export const formatAblation = (rows: readonly AblationRow[]): string =>
    alignTable([
        ["idea", "measure", "with", "without", "better seeds", "worse seeds"],
        ...rows.map(({ idea, measure, unit, meanWith, meanWithout, betterSeeds, worseSeeds }) => [
            idea,
            measure,
            formatValue(meanWith, unit),
            formatValue(meanWithout, unit),
            String(betterSeeds),
            String(worseSeeds),
        ]),
    ]);
