import type { WorkClass } from "@persimmonpitch/schema/job.js";
import { workClassSchema } from "@persimmonpitch/schema/job.js";
import type { TopLevelSpec } from "vega-lite";
import type { BenchRun } from "./benchRun.js";
import { completionTimes } from "./measures.js";
import { CHART_SCHEMA, renderChart } from "./renderChart.js";
import type { TimedSample } from "./replayResult.js";
import { HOUR_MS } from "./trace.js";

const SECOND_MS = 1_000;
/** Points of one distribution curve. */
const QUANTILES = 100;
/** Buckets of the fragmentation over the length of the trace. */
const TIME_BUCKETS = 120;
const WIDTH_PIXELS = 260;
const HEIGHT_PIXELS = 180;

interface CompletionPoint {
    readonly policy: string;
    readonly workClass: WorkClass;
    readonly seconds: number;
    readonly share: number;
}

interface FragmentationPoint {
    readonly policy: string;
    readonly hours: number;
    readonly share: number;
}

const distribution = (times: readonly number[]): { readonly seconds: number; readonly share: number; }[] => {
    const sorted = times.toSorted((a, b) => a - b);
    return Array.from({ length: QUANTILES + 1 }, (_, step) => {
        const share = step / QUANTILES;
        const time = sorted[Math.round(share * (sorted.length - 1))] ?? 0;
        return { seconds: Math.max(1, time / SECOND_MS), share };
    });
};

const completionPoints = ({ policies }: BenchRun): CompletionPoint[] =>
    [...policies].flatMap(([policy, { result }]) =>
        workClassSchema.options.flatMap(workClass => {
            const times = completionTimes(result.jobs, workClass);
            return times.length === 0 ? [] : distribution(times).map(point => ({ policy, workClass, ...point }));
        })
    );

const bucketShares = (samples: readonly TimedSample[], lengthMs: number) => {
    const buckets = Array.from({ length: TIME_BUCKETS }, () => ({ free: 0, unusable: 0 }));
    for (const { at, untilAt, free, unusable } of samples) {
        const bucket = buckets[Math.min(TIME_BUCKETS - 1, Math.floor(at / lengthMs * TIME_BUCKETS))];
        if (bucket !== undefined) {
            bucket.free += free * (untilAt - at);
            bucket.unusable += unusable * (untilAt - at);
        }
    }
    return buckets.map(({ free, unusable }, index) => ({
        hours: index / TIME_BUCKETS * lengthMs / HOUR_MS,
        share: free === 0 ? 0 : unusable / free,
    }));
};

const fragmentationPoints = ({ policies, trace }: BenchRun): FragmentationPoint[] =>
    [...policies].flatMap(([policy, { result }]) =>
        bucketShares(result.samples, trace.lengthMs).map(point => ({ policy, ...point }))
    );

const chartSpec = (bench: BenchRun): TopLevelSpec => ({
    $schema: CHART_SCHEMA,
    title: `Completion time and fragmentation, ${bench.trace.deployment.name}`,
    vconcat: [
        {
            data: { values: completionPoints(bench) },
            facet: { field: "workClass", type: "nominal", sort: workClassSchema.options, title: null },
            spec: {
                width: WIDTH_PIXELS,
                height: HEIGHT_PIXELS,
                mark: "line",
                encoding: {
                    x: { field: "seconds", type: "quantitative", scale: { type: "log" }, title: "Completion time (s)" },
                    y: { field: "share", type: "quantitative", title: "Share of jobs" },
                    order: { field: "share", type: "quantitative" },
                    color: { field: "policy", type: "nominal", title: "Policy" },
                },
            },
            columns: 3,
            resolve: { scale: { x: "independent" } },
        },
        {
            data: { values: fragmentationPoints(bench) },
            width: 3 * WIDTH_PIXELS,
            height: HEIGHT_PIXELS,
            mark: "line",
            encoding: {
                x: { field: "hours", type: "quantitative", title: "Time (h)" },
                y: { field: "share", type: "quantitative", title: "Fragmentation", scale: { domain: [0, 1] } },
                color: { field: "policy", type: "nominal", title: "Policy" },
            },
        },
    ],
});

/** Draws completion-time distributions for each class, and fragmentation over time, as SVG. */
export const drawCharts = (bench: BenchRun): Promise<string> => renderChart(chartSpec(bench));
