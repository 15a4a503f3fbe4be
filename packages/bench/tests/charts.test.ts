import t from "tap";
import { formatAblation } from "../src/ablation.js";
import { runBench } from "../src/benchRun.js";
import { drawCharts } from "../src/charts.js";
import { formatReport } from "../src/report.js";

// Guards against a report that loses a policy or a target, and against charts that vega rejects.
void t.test("the report and the charts of a short trace", async t => {
    const bench = runBench({
        deployment: "lentesud",
        seed: 2,
        hours: 0.3,
        policies: ["fifoFirstFit", "fifoBackfill"],
        options: {},
    });
    t.matchSnapshot(formatReport(bench));
    const svg = await drawCharts(bench);
    t.match(svg, /^<svg[\s\S]*fifoBackfill[\s\S]*<\/svg>$/);
});

// Guards against columns of an on/off table that change places.
void t.test("an on/off table", t => {
    const row = { idea: "backfill", measure: "mean completion", unit: "ms" as const };
    t.matchSnapshot(formatAblation([{ ...row, meanWith: 1_000, meanWithout: 2_000, betterSeeds: 4, worseSeeds: 1 }]));
    t.end();
});
