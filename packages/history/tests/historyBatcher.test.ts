import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { silentLogger } from "@persimmonpitch/logging/logger.js";
import type { HistoryRecord } from "@persimmonpitch/schema/historyRecord.js";
import { formatSnapshot } from "@persimmonpitch/snapshots/formatSnapshot.js";
import type { TableFaults } from "@persimmonpitch/standins/memoryTable.js";
import { MemoryTable } from "@persimmonpitch/standins/memoryTable.js";
import fc from "fast-check";
import t from "tap";
import type { HistoryBatcherOptions } from "../src/historyBatcher.js";
import { HistoryBatcher } from "../src/historyBatcher.js";
import { historyRowSchema } from "../src/historyRow.js";

t.formatSnapshot = formatSnapshot;

const SEED = 20_261_204;

const record = (index: number, team = "weavers"): HistoryRecord => ({
    team,
    kind: "request",
    subjectId: `r${index}`,
    sequence: 0,
    event: "finished",
    at: index,
    requestKey: `key-${index}`,
    detail: "",
});

const open = (limits: Partial<HistoryBatcherOptions> = {}) => {
    const clock = new FakeClock();
    const table = new MemoryTable(clock);
    let batches = 0;
    const newBatchId = () => {
        batches += 1;
        return `b${batches}`;
    };
    const batcher = new HistoryBatcher({ table, clock, logger: silentLogger, random: () => 1, newBatchId, ...limits });
    const abort = new AbortController();
    const ended = batcher.run(abort.signal);
    return { clock, table, batcher, abort, ended };
};

/** Adds a record and notes when it becomes durable. */
const addNoting = (batcher: HistoryBatcher, clock: FakeClock, index: number, notes: string[], team?: string): void => {
    const added = batcher.add(record(index, team));
    if (added.isErr) {
        notes.push(`r${index} refused: ${added.error}`);
        return;
    }
    void added.value.durable.then(isDurable => {
        notes.push(`r${index} durable=${isDurable} at ${clock.now()}`);
    });
};

const writtenIds = (table: MemoryTable): readonly string[] =>
    table.snapshot().flatMap(({ value }) => historyRowSchema.parse(value).records.map(({ subjectId }) => subjectId));

interface Case {
    readonly name: string;
    readonly adds: number;
    readonly faults?: Partial<TableFaults>;
    /** Time until the faults end. */
    readonly faultMs?: number;
    readonly limits?: Partial<HistoryBatcherOptions>;
}

const CASES: readonly Case[] = [
    { name: "a few records wait for others", adds: 3 },
    { name: "a full batch is written at once", adds: 5, limits: { maxBatchRecords: 2 } },
    { name: "records beyond the bound are refused", adds: 4, limits: { maxPending: 2 } },
    { name: "an outage delays", adds: 3, faults: { down: true }, faultMs: 2_000 },
    { name: "a lost answer", adds: 3, faults: { loseAnswers: 1 } },
    { name: "every answer lost for a time", adds: 3, faults: { loseAnswers: 1_000 }, faultMs: 2_000 },
    { name: "a slow table", adds: 3, faults: { slow: 700 } },
];

// Guards against records that are lost, written twice or reported durable too early when the table fails.
void t.test("batches", async t => {
    for (const { name, adds, faults = {}, faultMs = 0, limits } of CASES) {
        const { clock, table, batcher, ended } = open(limits);
        const notes: string[] = [];
        Object.assign(table.faults, faults);
        for (let index = 0; index < adds; index += 1) {
            addNoting(batcher, clock, index, notes, index % 2 === 0 ? "weavers" : "dyers");
        }
        await clock.advance(faultMs);
        if (faultMs > 0) {
            Object.assign(table.faults, { down: false, loseAnswers: 0 });
        }
        await clock.advance(10_000);
        const drained = batcher.drain();
        await clock.advance(1_000);
        t.matchSnapshot({ notes, rows: table.snapshot(), writes: table.counts.writes, drained: await drained }, name);
        await ended;
    }
});

// Guards against a drain that waits for the batch delay, takes further records, or claims success during an outage.
void t.test("drain and abort", async t => {
    const { clock, table, batcher, abort, ended } = open();
    const notes: string[] = [];
    addNoting(batcher, clock, 1, notes);
    const drained = batcher.drain();
    addNoting(batcher, clock, 2, notes);
    await clock.advance(0);
    notes.push(`drained=${await drained} pending=${batcher.pending}`);
    await ended;

    const outage = open();
    outage.table.faults.down = true;
    addNoting(outage.batcher, outage.clock, 3, notes);
    const unfinished = outage.batcher.drain();
    await outage.clock.advance(1_000);
    outage.abort.abort();
    await outage.ended;
    notes.push(`drained=${await unfinished} pending=${outage.batcher.pending}`);
    t.matchSnapshot({ notes, writes: table.counts.writes + outage.table.counts.writes });
    abort.abort();
});

const stepArbitrary = fc.record({
    adds: fc.nat(8),
    down: fc.boolean(),
    loseAnswers: fc.nat(2),
    slow: fc.nat(300),
    advanceMs: fc.nat(2_000),
});

// Guards against loss and repetition under any mix of faults: what was taken is written exactly once.
void t.test("every record taken is written once", async t => {
    await fc.assert(
        fc.asyncProperty(fc.array(stepArbitrary, { minLength: 1, maxLength: 8 }), async steps => {
            const { clock, table, batcher, ended } = open({ maxBatchRecords: 5, maxPending: 20 });
            const taken: string[] = [];
            let index = 0;
            for (const { adds, advanceMs, ...faults } of steps) {
                Object.assign(table.faults, faults);
                for (let count = 0; count < adds; count += 1) {
                    index += 1;
                    if (batcher.add(record(index)).isOk) {
                        taken.push(`r${index}`);
                    }
                }
                await clock.advance(advanceMs);
            }
            Object.assign(table.faults, { down: false, loseAnswers: 0, slow: 0 });
            const drained = batcher.drain();
            await clock.advance(60_000);
            await ended;
            t.ok(await drained);
            t.strictSame(writtenIds(table).toSorted(), taken.toSorted());
        }),
        { seed: SEED, numRuns: 100 },
    );
});
