import { formatSnapshot } from "@persimmonpitch/snapshots/formatSnapshot.js";
import t from "tap";
import type { UnitOrder } from "../src/dispatchOptions.js";
import { runPass } from "../src/dispatchPass.js";
import { executorsOf, jobOf, START, viewOf } from "./dispatchFixture.js";

t.formatSnapshot = formatSnapshot;

const ORDERS: Readonly<Record<UnitOrder, true>> = {
    weightedTardiness: true,
    valuePerWork: true,
    earliestDeadline: true,
    leastSlack: true,
};

const wholeExecutor = (id: string, queue: "batch" | "preview", declaredMs: number, ageMs: number) =>
    jobOf({ id, queue, acceptedAt: START - ageMs, steps: [{ declaredMs, demand: { accelerators: 8 } }] });

/** On time, but different in value, deadline and slack. */
const JOBS = [
    // The most valuable for its work, without hurry.
    wholeExecutor("valuable", "batch", 1_000, 0),
    // Due first, but short, so that it has slack.
    wholeExecutor("due", "preview", 1_000, 5_000),
    // Due later, but so long that it has the least slack.
    wholeExecutor("long", "batch", 10_000, 12_000),
];

// Guards against a comparison of orders in which an order has no effect.
void t.test("each order ranks ordinary work by its own rule", t => {
    const ranked = Object.keys(ORDERS).map(order => {
        const { waiting } = runPass(viewOf(JOBS, executorsOf(0)), { unitOrder: order as UnitOrder });
        return `${order}: ${waiting.map(({ ranked: { unit } }) => unit.openOccurrence.view.job.jobId).join(", ")}`;
    });
    t.matchSnapshot(ranked);
    t.end();
});
