import { readFileSync } from "node:fs";
import t from "tap";
import { DEFAULT_DISPATCH_OPTIONS } from "../src/dispatchOptions.js";
import { type LoadResult, replayLoad } from "./overloadLoad.js";

const SEEDS = [1, 2, 3, 4, 5, 6] as const;

/** Figures of commit f966a76, which preempts at once, with the same load and seeds. */
interface Before {
    readonly intensity: number;
    readonly stops: number;
    readonly lostCoreSeconds: number;
    readonly urgentOnTime: number;
}

/** Near and above the capacity. */
const BEFORE: readonly Before[] = [
    { intensity: 1.3, stops: 1_684, lostCoreSeconds: 41_603, urgentOnTime: 396 },
    { intensity: 2, stops: 2_005, lostCoreSeconds: 35_209, urgentOnTime: 544 },
];

/** Target of docs/overload.md: wasted work as a share of that before. */
const TARGET_LOST_SHARE = 1 / 3;

const PREFIX = "dispatch-load: ";
const KNOWN_RED = readFileSync(new URL("../../../../KNOWN-RED.txt", import.meta.url), "utf8");
const knownRows = KNOWN_RED
    .split("\n")
    .filter(line => line.startsWith(PREFIX))
    .map(line => line.slice(PREFIX.length).split(";")[0]);

const sum = (results: readonly LoadResult[], field: keyof LoadResult): number =>
    results.reduce((total, result) => total + result[field], 0);

const FIELDS = ["stops", "lostCoreSeconds", "urgentOnTime", "urgentJobs", "otherOnTime", "otherJobs"] as const;

const lineOf = (results: readonly LoadResult[]): string =>
    FIELDS.map(field => `${field}=${sum(results, field)}`).join(" ");

// Guards against preemption that wastes more work, makes more urgent jobs late, or stops one task again and again.
void t.test("preemption as a last resort under load", t => {
    const missed: string[] = [];
    for (const { intensity, ...before } of BEFORE) {
        const after = SEEDS.map(seed => replayLoad(intensity, seed));
        t.comment(`intensity ${intensity}: ${lineOf(after)}`);
        t.ok(sum(after, "stops") < before.stops, `${intensity}: fewer stops`);
        t.ok(sum(after, "lostCoreSeconds") < before.lostCoreSeconds, `${intensity}: less lost work`);
        const mostStops = Math.max(...after.map(({ mostRuns }) => mostRuns - 1));
        t.ok(mostStops <= DEFAULT_DISPATCH_OPTIONS.maxPreemptedRuns, `${intensity}: ${mostStops} stops of one task`);
        const targets = {
            "lost core-seconds, a third": sum(after, "lostCoreSeconds")
                <= TARGET_LOST_SHARE * before.lostCoreSeconds,
            "urgent jobs on time, no fewer": sum(after, "urgentOnTime") >= before.urgentOnTime,
        };
        missed.push(
            ...Object.entries(targets).flatMap(([row, isMet]) => isMet ? [] : [`intensity=${intensity} ${row}`]),
        );
    }
    t.strictSame(missed, knownRows, "exactly the rows in KNOWN-RED.txt miss their targets");
    t.end();
});
