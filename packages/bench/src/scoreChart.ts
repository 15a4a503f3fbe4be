#!/usr/bin/env node
import meow from "meow";
import { writeFileSync } from "node:fs";
import { CHART_SCHEMA, renderChart } from "./renderChart.js";
import { readScores } from "./scoreHistory.js";

const WIDTH_PIXELS = 640;
const HEIGHT_PIXELS = 280;

const HELP = `
Usage: npm run scores -- [options]

  --journal FOLDER  entries of the users' bench (default: journal)
  --svg FILE        where the chart goes (default: docs/scores.svg)
  --help            prints this text
`;

const { flags } = meow(HELP, {
    importMeta: import.meta,
    flags: {
        journal: { type: "string", default: "journal" },
        svg: { type: "string", default: "docs/scores.svg" },
    },
});
const scores = readScores(flags.journal);
writeFileSync(
    flags.svg,
    await renderChart({
        $schema: CHART_SCHEMA,
        title: "Scores of the users' bench",
        width: WIDTH_PIXELS,
        height: HEIGHT_PIXELS,
        data: { values: scores.map(point => ({ ...point })) },
        mark: { type: "line", point: true },
        encoding: {
            x: { field: "at", type: "temporal", timeUnit: "utcyearmonthdatehoursminutes", title: "Time (UTC)" },
            y: { field: "score", type: "quantitative", scale: { domain: [0, 1] }, title: "Score" },
            color: { field: "site", type: "nominal", title: "Site" },
        },
    }),
);
console.log(`${scores.length} scores are drawn in ${flags.svg}.`);
