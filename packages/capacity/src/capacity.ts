#!/usr/bin/env node
import meow from "meow";
import { readFileSync } from "node:fs";
import * as z from "zod";
import type { Measured } from "./measurement.js";
import { measuredSchema } from "./measurement.js";
import type { MeasurementName } from "./measurements.js";
import { isMeasurementName, MEASUREMENTS } from "./measurements.js";
import { formatMeasured, formatMeasuredMarkdown } from "./report.js";
import { runMeasurement } from "./runMeasurement.js";
import type { Verdict } from "./verdicts.js";
import { formatVerdicts, formatVerdictsMarkdown, judge } from "./verdicts.js";

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;
const JSON_INDENT = 2;

/** Three at a time keep a whole run under 10 minutes and its memory under 4 GiB. */
const LANES = 3;

/** Most processes that a run may have, each with a listener for the end of the command. */
const MAX_PROCESSES = 200;
const MS_PER_SECOND = 1_000;

const HELP = `
Usage: npm run capacity -- [options]

Measures how the use of each process grows with its load, fits a line to each figure, and works out the figures at the
size to design for.

  --only NAME   one measurement; may be repeated
  --quick       tiny sizes and short stretches, to check that everything works
  --from FILE   works out the figures again from the output of an earlier run with --json; may be repeated
  --json        prints JSON
  --markdown    prints the tables of docs/CAPACITY.md
  --help        prints this text

Measurements:
${Object.entries(MEASUREMENTS).map(([name, { description }]) => `  ${name.padEnd(17)}  ${description}`).join("\n")}
`;

const runSchema = z.array(measuredSchema);

const note = (text: string): void => {
    process.stderr.write(`${text}\n`);
};

const measure = async (name: MeasurementName, isQuick: boolean): Promise<Measured | undefined> => {
    const startedAt = performance.now();
    try {
        return await runMeasurement(name, MEASUREMENTS[name], { isQuick, note });
    }
    catch (err) {
        // The other measurements are still worth their time; the exit code tells that one is missing.
        note(`${name} failed: ${err instanceof Error ? err.message : String(err)}`);
        return undefined;
    }
    finally {
        note(`${name} took ${Math.round((performance.now() - startedAt) / MS_PER_SECOND)} s.`);
    }
};

/** Runs measurements, each in the next free one of so many lanes. */
const measureInLanes = async (
    names: readonly MeasurementName[],
    isQuick: boolean,
    lanes: number,
): Promise<Measured[]> => {
    const measured: Measured[] = [];
    const waiting = [...names];
    const runLane = async () => {
        for (let name = waiting.shift(); name !== undefined; name = waiting.shift()) {
            const found = await measure(name, isQuick);
            if (found !== undefined) {
                measured.push(found);
            }
        }
    };
    await Promise.all(Array.from({ length: lanes }, runLane));
    return measured;
};

const measureAll = async (names: readonly MeasurementName[], isQuick: boolean): Promise<Measured[]> => {
    const runsAlone = (name: MeasurementName) => MEASUREMENTS[name].runsAlone === true;
    const alone = await measureInLanes(names.filter(runsAlone), isQuick, 1);
    return [...alone, ...await measureInLanes(names.filter(name => !runsAlone(name)), isQuick, LANES)];
};

type Format = "text" | "json" | "markdown";

const FORMATS: { readonly [F in Format]: (measured: readonly Measured[], verdicts: readonly Verdict[]) => string; } = {
    text: (measured, verdicts) => [formatVerdicts(verdicts), ...measured.map(formatMeasured)].join("\n\n"),
    json: measured => JSON.stringify(measured, undefined, JSON_INDENT),
    markdown: (measured, verdicts) =>
        [formatVerdictsMarkdown(verdicts), ...measured.map(formatMeasuredMarkdown)].join("\n\n"),
};

const formatOf = ({ json, markdown }: { readonly json: boolean; readonly markdown: boolean; }): Format => {
    if (json) {
        return "json";
    }
    return markdown ? "markdown" : "text";
};

const main = async (): Promise<number> => {
    const { flags } = meow(HELP, {
        importMeta: import.meta,
        allowUnknownFlags: false,
        flags: {
            only: { type: "string", isMultiple: true, default: Object.keys(MEASUREMENTS) },
            from: { type: "string", isMultiple: true, default: [] },
            quick: { type: "boolean", default: false },
            json: { type: "boolean", default: false },
            markdown: { type: "boolean", default: false },
        },
    });
    const unknown = flags.only.filter(name => !isMeasurementName(name));
    if (unknown.length > 0) {
        note(`There is no measurement ${unknown.join(", ")}; use ${Object.keys(MEASUREMENTS).join(", ")}.`);
        return EXIT_USAGE;
    }
    const names = flags.from.length > 0 ? [] : flags.only.filter(isMeasurementName);
    const earlier = flags.from.flatMap(file => runSchema.parse(JSON.parse(readFileSync(file, "utf8"))));
    const measured = [...earlier, ...await measureAll(names, flags.quick)];
    console.log(FORMATS[formatOf(flags)](measured, judge(measured)));
    return measured.length < names.length ? EXIT_FAILURE : 0;
};

const interrupt = () => {
    process.exit(EXIT_FAILURE);
};
process.once("SIGINT", interrupt);
process.once("SIGTERM", interrupt);
process.setMaxListeners(MAX_PROCESSES);
process.exitCode = await main();
