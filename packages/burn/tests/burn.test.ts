import fc from "fast-check";
import t from "tap";
import type { RequestOutcome } from "../src/burnRecorder.js";
import { BurnRecorder } from "../src/burnRecorder.js";
import { burnReportOf, burnReportSchema } from "../src/burnReport.js";
import { CountRing } from "../src/countRing.js";
import { formatBurnReport } from "../src/formatBurnReport.js";
import { DEFAULT_OBJECTIVES, objectivesSchema } from "../src/objective.js";

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;

interface Traffic {
    readonly from: number;
    readonly to: number;
    /** Every n-th request ends like this; the others are answered in 150 ms. */
    readonly every: number;
    readonly outcome: RequestOutcome;
    readonly elapsedMs: number;
}

const recorded = (traffic: readonly Traffic[]): BurnRecorder => {
    const recorder = new BurnRecorder(DEFAULT_OBJECTIVES);
    traffic.forEach(({ from, to, every, outcome, elapsedMs }) => {
        for (let at = from, count = 1; at < to; at += 10_000, count += 1) {
            const isOther = count % every === 0;
            recorder.record("interactive", isOther ? outcome : "answered", isOther ? elapsedMs : 150, at);
        }
    });
    return recorder;
};

const CASES: readonly { readonly name: string; readonly traffic: readonly Traffic[]; readonly now: number; }[] = [
    { name: "nothing recorded", traffic: [], now: MINUTE_MS },
    {
        name: "within the objective",
        traffic: [{ from: 0, to: 6 * HOUR_MS, every: 200, outcome: "answered", elapsedMs: 3_000 }],
        now: 6 * HOUR_MS,
    },
    {
        name: "a fault in the last hour pages",
        traffic: [
            { from: 0, to: 5 * HOUR_MS, every: 1_000, outcome: "failed", elapsedMs: 10 },
            { from: 5 * HOUR_MS, to: 6 * HOUR_MS, every: 4, outcome: "refused", elapsedMs: 5 },
        ],
        now: 6 * HOUR_MS,
    },
    {
        name: "a fault that has ended does not page",
        traffic: [
            { from: 0, to: HOUR_MS, every: 4, outcome: "failed", elapsedMs: 5 },
            { from: HOUR_MS, to: HOUR_MS + 10 * MINUTE_MS, every: 10_000, outcome: "failed", elapsedMs: 5 },
        ],
        now: HOUR_MS + 10 * MINUTE_MS,
    },
    {
        name: "a slow burn opens a ticket",
        traffic: [{ from: 0, to: 4 * DAY_MS, every: 50, outcome: "answered", elapsedMs: 2_001 }],
        now: 4 * DAY_MS,
    },
    {
        name: "cancelled requests do not count",
        traffic: [{ from: 0, to: HOUR_MS, every: 2, outcome: "cancelled", elapsedMs: 9_000 }],
        now: HOUR_MS,
    },
    {
        name: "counts older than the budget period are gone",
        traffic: [{ from: 0, to: DAY_MS, every: 2, outcome: "failed", elapsedMs: 5 }],
        now: 32 * DAY_MS,
    },
];

// Guards against wrong burn rates, alerts that fire or stay silent wrongly, and columns that do not line up.
void t.test("reports", t => {
    CASES.forEach(({ name, traffic, now }) => {
        const report = burnReportOf(recorded(traffic), now);
        t.matchSnapshot(formatBurnReport(report), name);
        t.strictSame(burnReportSchema.parse(JSON.parse(JSON.stringify(report))), report, "survives JSON");
    });
    t.end();
});

// Guards against objectives that leave no budget or contradict one another.
void t.test("objectives that are refused", t => {
    const objective = { workClass: "interactive", goodShare: 0.99, withinMs: 2_000 };
    const inputs = [
        [{ ...objective, goodShare: 1 }],
        [{ ...objective, withinMs: 0 }],
        [{ ...objective, budgetDays: 31 }],
        [{ ...objective, workClass: "fast" }],
        [objective, objective],
    ];
    t.matchSnapshot(inputs.map(input => objectivesSchema.safeParse(input).error?.issues.map(({ message }) => message)));
    t.end();
});

// Guards against buckets that are counted twice, dropped early or not cleared when the ring wraps.
void t.test("a ring sums exactly the buckets of the window", t => {
    const BUCKET_MS = 10;
    const LENGTH = 8;
    fc.assert(
        fc.property(
            fc.array(fc.tuple(fc.nat(40), fc.boolean()), { maxLength: 100 }),
            fc.integer({ min: 1, max: LENGTH }),
            (events, buckets) => {
                const ring = new CountRing(BUCKET_MS, LENGTH);
                const times: { at: number; isGood: boolean; }[] = [];
                let now = 0;
                return events.every(([gap, isGood]) => {
                    now += gap;
                    ring.add(isGood, now);
                    times.push({ at: now, isGood });
                    const start = (Math.floor(now / BUCKET_MS) - buckets + 1) * BUCKET_MS;
                    const inWindow = times.filter(({ at }) => at >= start);
                    const good = inWindow.filter(event => event.isGood).length;
                    const sum = ring.sum(buckets * BUCKET_MS, now);
                    return sum.good === good && sum.bad === inWindow.length - good;
                });
            },
        ),
        { seed: 20_260, numRuns: 1_000 },
    );
    t.end();
});
