import type { BenchRun, PolicyRun } from "./benchRun.js";
import type { Measures } from "./measuresSchema.js";
import type { PolicyName } from "./policies.js";
import type { Unit } from "./targets.js";
import { targetRows } from "./targets.js";

const SECOND_MS = 1_000;
const PERCENT = 100;

const FORMATS: Readonly<Record<Unit, (value: number) => string>> = {
    ms: value => `${(value / SECOND_MS).toFixed(2)} s`,
    share: value => `${(value * PERCENT).toFixed(2)}%`,
    ratio: value => value.toFixed(2),
    count: value => value.toFixed(0),
};

/** Formats a value in its unit. */
export const formatValue = (value: number, unit: Unit): string => FORMATS[unit](value);

/** Aligns the columns of a table: the first to the left, the others to the right. */
export const alignTable = (rows: readonly (readonly string[])[]): string => {
    const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map(row => (row[column] ?? "").length)));
    return rows
        .map(row => row.map((cell, column) => pad(cell, widths[column] ?? 0, column === 0)).join("  ").trimEnd())
        .join("\n");
};

const pad = (cell: string, width: number, isLeft: boolean): string =>
    isLeft ? cell.padEnd(width) : cell.padStart(width);

interface ReportRow {
    readonly label: string;
    readonly unit: Unit;
    readonly of: (measures: Measures, run: PolicyRun) => number;
}

const classRows = (label: string, workClass: keyof Measures["completionByClass"]): ReportRow[] => [
    { label: `${label}, mean`, unit: "ms", of: measures => measures.completionByClass[workClass].meanMs },
    { label: `${label}, p50`, unit: "ms", of: measures => measures.completionByClass[workClass].p50Ms },
    { label: `${label}, p95`, unit: "ms", of: measures => measures.completionByClass[workClass].p95Ms },
    { label: `${label}, p99`, unit: "ms", of: measures => measures.completionByClass[workClass].p99Ms },
];

const REPORT_ROWS: readonly ReportRow[] = [
    { label: "jobs finished", unit: "count", of: ({ finished }) => finished },
    { label: "jobs failed", unit: "count", of: ({ failed }) => failed },
    { label: "jobs refused", unit: "count", of: ({ refused }) => refused },
    { label: "jobs cancelled", unit: "count", of: ({ cancelled }) => cancelled },
    { label: "jobs unfinished", unit: "count", of: ({ unfinished }) => unfinished },
    { label: "completion, mean", unit: "ms", of: ({ completion }) => completion.meanMs },
    { label: "  lower bound, true run times known", unit: "ms", of: (_, { meanBoundMs }) => meanBoundMs },
    { label: "completion, p50", unit: "ms", of: ({ completion }) => completion.p50Ms },
    { label: "completion, p95", unit: "ms", of: ({ completion }) => completion.p95Ms },
    { label: "completion, p99", unit: "ms", of: ({ completion }) => completion.p99Ms },
    ...classRows("urgent", "urgent"),
    ...classRows("interactive", "interactive"),
    ...classRows("standard", "standard"),
    ...classRows("batch", "batch"),
    ...classRows("bestEffort", "bestEffort"),
    { label: "bounded slowdown, mean", unit: "ratio", of: ({ boundedSlowdown }) => boundedSlowdown.mean },
    { label: "bounded slowdown, p95", unit: "ratio", of: ({ boundedSlowdown }) => boundedSlowdown.p95 },
    { label: "fragmentation of free accelerators", unit: "share", of: ({ fragmentation }) => fragmentation },
    { label: "  part due to scatter", unit: "share", of: ({ scatter }) => scatter },
    { label: "  unusable share of all accelerators", unit: "share", of: ({ unusableShare }) => unusableShare },
    { label: "guarantee delay, p99", unit: "ms", of: ({ guaranteeDelay }) => guaranteeDelay.p99Ms },
    { label: "guarantee delay, longest", unit: "ms", of: ({ guaranteeDelay }) => guaranteeDelay.maxMs },
    { label: "reclaims", unit: "count", of: ({ reclaimDelay }) => reclaimDelay.count },
    { label: "reclaim delay, longest", unit: "ms", of: ({ reclaimDelay }) => reclaimDelay.maxMs },
    { label: "guarantees unmet during faults", unit: "count", of: ({ unmetGuarantees }) => unmetGuarantees },
    { label: "preemptions", unit: "count", of: ({ preemptions }) => preemptions },
    { label: "time lost to preemption", unit: "share", of: ({ lostToPreemption }) => lostToPreemption },
    { label: "time lost to faults", unit: "share", of: ({ lostToFaults }) => lostToFaults },
    { label: "gangs of 16 at the head, longest wait", unit: "ms", of: ({ headWait }) => headWait.longestMs },
    { label: "  bound of that wait", unit: "ms", of: ({ headWait }) => headWait.longestBoundMs },
    { label: "  largest excess over a bound", unit: "ms", of: ({ headWait }) => headWait.worstExcessMs },
    { label: "needed-by jobs", unit: "count", of: ({ neededBy }) => neededBy.count },
    { label: "  feasible", unit: "count", of: ({ neededBy }) => neededBy.feasible },
    { label: "  late", unit: "count", of: ({ neededBy }) => neededBy.late },
    { label: "  late and feasible, without faults", unit: "count", of: ({ neededBy }) => neededBy.lateFeasible },
    { label: "Jain's index over teams", unit: "ratio", of: ({ jainIndex }) => jainIndex },
    { label: "bytes/s between data centres", unit: "count", of: measures => measures.bytesAcrossPerSecond },
    { label: "placement passes", unit: "count", of: ({ passes }) => passes },
];

const targetTable = (bench: BenchRun, names: readonly PolicyName[]): string => {
    const header = ["target", ...names.flatMap(name => [name, "bound", ""])];
    const byPolicy = names.map(name => targetRows(bench, name));
    const rows = (byPolicy[0] ?? []).map(({ measure }, index) => [
        measure,
        ...byPolicy.flatMap(policyRows => {
            const row = policyRows[index];
            return row === undefined
                ? ["-", "-", "-"]
                : [formatValue(row.value, row.unit), formatValue(row.bound, row.unit), row.ok ? "pass" : "fail"];
        }),
    ]);
    return alignTable([header, ...rows]);
};

/** The measures and the targets of all policies as aligned text. */
export const formatReport = (bench: BenchRun): string => {
    const names = [...bench.policies.keys()];
    const runs = [...bench.policies.values()];
    const rows = REPORT_ROWS.map(({ label, unit, of }) => [
        label,
        ...runs.map(run => formatValue(of(run.measures, run), unit)),
    ]);
    const { deployment, jobs, lengthMs } = bench.trace;
    return [
        `${deployment.name}: ${deployment.vms.length} VMs, ${jobs.length} jobs in ${lengthMs / SECOND_MS} s`,
        alignTable([["measure", ...names], ...rows]),
        targetTable(bench, names),
        ...[...bench.broken].map(([name, message]) => `${name} broke an invariant: ${message}`),
    ].join("\n\n");
};

/** The same as data. */
export const reportData = (bench: BenchRun) => ({
    deployment: bench.trace.deployment.name,
    jobs: bench.trace.jobs.length,
    lengthMs: bench.trace.lengthMs,
    broken: Object.fromEntries(bench.broken),
    policies: Object.fromEntries(
        [...bench.policies].map(([name, { measures, meanBoundMs, renders }]) => [
            name,
            { measures, meanBoundMs, renders, targets: targetRows(bench, name) },
        ]),
    ),
});
