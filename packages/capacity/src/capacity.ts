#!/usr/bin/env node
import meow from "meow";
import type { Measured } from "./measurement.js";
import { isMeasurementName, MEASUREMENTS } from "./measurements.js";
import { formatMeasured } from "./report.js";
import { runMeasurement } from "./runMeasurement.js";

const EXIT_USAGE = 2;
const JSON_INDENT = 2;

const HELP = `
Usage: npm run capacity -- [options]

Measures how the use of each process grows with its load, and fits a line to each figure.

  --only NAME  one measurement; may be repeated
  --quick      tiny sizes and short stretches, to check that everything works
  --json       prints JSON
  --help       prints this text

Measurements:
${Object.entries(MEASUREMENTS).map(([name, { description }]) => `  ${name.padEnd(15)}  ${description}`).join("\n")}
`;

const note = (text: string): void => {
    process.stderr.write(`${text}\n`);
};

const main = async (): Promise<number> => {
    const { flags } = meow(HELP, {
        importMeta: import.meta,
        flags: {
            only: { type: "string", isMultiple: true },
            quick: { type: "boolean", default: false },
            json: { type: "boolean", default: false },
        },
    });
    const names = flags.only === undefined || flags.only.length === 0 ? Object.keys(MEASUREMENTS) : flags.only;
    const measured: Measured[] = [];
    for (const name of names) {
        if (!isMeasurementName(name)) {
            note(`There is no measurement ${name}; use one of ${Object.keys(MEASUREMENTS).join(", ")}.`);
            return EXIT_USAGE;
        }
        const startedAt = performance.now();
        measured.push(await runMeasurement(name, MEASUREMENTS[name], { isQuick: flags.quick, note }));
        note(`${name} took ${Math.round((performance.now() - startedAt) / 1_000)} s.`);
    }
    console.log(
        flags.json ? JSON.stringify(measured, undefined, JSON_INDENT) : measured.map(formatMeasured).join("\n\n"),
    );
    return 0;
};

process.exitCode = await main();
