import t from "tap";
import type { Measured } from "../src/measurement.js";
import type { MeasurementName } from "../src/measurements.js";
import { MEASUREMENTS } from "../src/measurements.js";
import { runMeasurement } from "../src/runMeasurement.js";

const run = (name: MeasurementName): Promise<Measured> =>
    runMeasurement(name, MEASUREMENTS[name], { isQuick: true, note: () => undefined });

const each = (measured: Measured, holds: (size: number, values: Readonly<Record<string, number>>) => boolean) =>
    measured.points.length > 2 && measured.points.every(({ size, values }) => holds(size, values));

// Guards against a relay or process reading that counts nothing, and against agents that do not reach the entry.
void t.test("agent processes", async t => {
    const measured = await run("agentIdle");
    t.ok(each(measured, (_size, values) => (values["agent resident MB"] ?? 0) > 0), "memory is read");
});

// Guards against pushes that are counted twice or lost: each agent gets one message for a change.
void t.test("spread of a configuration", async t => {
    const measured = await run("configSpread");
    t.ok(each(measured, (size, values) => values["messages to agents"] === size));
    t.ok(each(measured, (_size, values) => (values["entry to agents B"] ?? 0) > 0), "bytes are counted");
});

// Guards against jobs that cost more transactions than the three of section 7.
void t.test("writes of a job", async t => {
    const measured = await run("tableJobs");
    t.ok(each(measured, (size, values) => (values["writes"] ?? 0) >= 3 * size), "accept, claim and finish are written");
    // The holder renews its role every second in the meantime (docs/design.md, section 9).
    const most = (size: number, watchedSeconds: number) => 3 * size + watchedSeconds + 1;
    t.ok(each(measured, (size, values) => (values["writes"] ?? 0) <= most(size, values["watched s"] ?? 0)));
});

// Guards against an export that loses records.
void t.test("export", async t => {
    const measured = await run("historyExport");
    t.ok(each(measured, (size, values) => values["lines without the manifest"] === size));
});

// Guards against a state of the holder that does not hold the plan's tasks.
void t.test("scheduling turn", async t => {
    const measured = await run("schedulingTurn");
    t.ok(each(measured, (size, values) => Math.abs((values["tasks"] ?? 0) - size * 4_500 / 930) < 1));
});
