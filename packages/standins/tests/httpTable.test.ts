import { HttpTable } from "@persimmonpitch/backing/httpTable.js";
import type { Transaction } from "@persimmonpitch/backing/table.js";
import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { systemClock } from "@persimmonpitch/clock/systemClock.js";
import { formatSnapshot } from "@persimmonpitch/snapshots/formatSnapshot.js";
import fc from "fast-check";
import type { Test } from "tap";
import t from "tap";
import type { TableFaults } from "../src/memoryTable.js";
import { MemoryTable } from "../src/memoryTable.js";
import { startTableServer } from "../src/tableServer.js";

t.formatSnapshot = formatSnapshot;

const SEED = 20_261_204;
const TIMEOUT_MS = 5_000;
/** Longer than any run, so that the breaker stays as the first failures left it. */
const BREAKER_OPEN_MS = 600_000;

const open = async (t: Test) => {
    const table = new MemoryTable(systemClock);
    const server = await startTableServer(table);
    const client = new HttpTable({
        baseUrl: server.url,
        clock: systemClock,
        timeoutMs: TIMEOUT_MS,
        random: () => 0,
        breakerOpenMs: BREAKER_OPEN_MS,
    });
    t.teardown(async () => {
        await client.close();
        await server.close();
    });
    return { table, server, client };
};

const put = (writeId: string, key: string, value: unknown, version?: number): Transaction => ({
    writeId,
    checks: version === undefined ? [] : [{ key, version }],
    puts: [{ key, value }],
    deletes: [],
});

// Guards against rows, versions and pages that change on their way through HTTP.
void t.test("reads, scans and commits", async t => {
    const { table, client } = await open(t);
    const steps = [
        await client.commit(put("w1", "a/1", { n: 1 }, 0)),
        await client.commit(put("w2", "a/2 ü?&", "text", 0)),
        await client.commit(put("w3", "a/1", null, 1)),
        await client.commit(put("w4", "a/1", 4, 1)),
        await client.commit(put("w3", "a/1", "again", 1)),
        await client.commit({ writeId: "w5", checks: [], puts: [{ key: "b", value: 1 }], deletes: [] }),
        await client.read("a/2 ü?&"),
        await client.read("c"),
        await client.scan("a/", undefined, 1),
        await client.scan("a/", "a/1", 1),
        await client.commit({ writeId: "w6", checks: [], puts: [], deletes: ["a/1"] }),
        await client.commit(put("w7", "a/1", "after deletion", 0)),
    ];
    t.matchSnapshot(steps.map(step => step.toJSON()));
    t.matchSnapshot(table.counts);
});

// Guards against a copy in transit that takes effect after its sender was told of a conflict.
void t.test("the first answer to a write id is final", async t => {
    const { table, client } = await open(t);
    await client.commit(put("other", "key", "other", 0));
    const late = put("late", "key", "late", 0);
    const steps = [
        await client.commit(late),
        await client.commit({ writeId: "release", checks: [], puts: [], deletes: ["key"] }),
        await client.commit(late),
    ];
    t.matchSnapshot(steps.map(step => step.toJSON()));
    t.strictSame(table.snapshot(), []);
});

interface FaultCase {
    readonly name: string;
    readonly faults: Partial<TableFaults>;
}

const FAULT_CASES: readonly FaultCase[] = [
    { name: "no fault", faults: {} },
    { name: "one lost answer", faults: { loseAnswers: 1 } },
    { name: "down", faults: { down: true } },
    { name: "stale read", faults: { staleReads: 1 } },
];

// Guards against a commit that is reported wrongly, or applied twice, when the table fails.
void t.test("commits and reads under faults", async t => {
    for (const { name, faults } of FAULT_CASES) {
        const { table, client } = await open(t);
        await client.commit(put("first", "key", "old"));
        Object.assign(table.faults, faults);
        const committed = await client.commit(put("second", "key", "new", 1));
        const read = await client.read("key");
        t.matchSnapshot({ committed: committed.toJSON(), read: read.toJSON(), writes: table.counts.writes }, name);
    }
});

// Guards against a timeout that is taken for a failed write, and against a second write by the repetition.
void t.test("a commit that outlasts the timeout", async t => {
    const clock = new FakeClock();
    const table = new MemoryTable(clock);
    const server = await startTableServer(table);
    const client = new HttpTable({ baseUrl: server.url, clock, timeoutMs: 100, maxRetries: 0 });
    t.teardown(async () => {
        await client.close();
        await server.close();
    });
    table.faults.slow = 1_000;
    const transaction = put("w", "key", "value", 0);
    const first = client.commit(transaction);
    await clock.advance(100);
    const outcome = await first;
    t.equal(outcome.isErr && outcome.error.kind, "unclear");
    table.faults.slow = 0;
    await clock.advance(1_000);
    const repeated = await client.commit(transaction);
    t.strictSame(repeated.unwrapOr({}), { key: 1 });
    t.equal(table.counts.writes, 1);
});

/** What a client may be told, given whether the transaction was written. */
const TRUTHFUL: Readonly<Record<string, (isWritten: boolean) => boolean>> = {
    ok: isWritten => isWritten,
    unavailable: isWritten => !isWritten,
    conflict: isWritten => !isWritten,
    unclear: () => true,
};

// Guards against an untruthful outcome or a repeated write under any mix of outages and lost answers.
void t.test("outcomes are truthful under random faults", async t => {
    const { table, server } = await open(t);
    const faults = fc.record({ down: fc.boolean(), loseAnswers: fc.nat(3), version: fc.nat(1) });
    let commits = 0;
    await fc.assert(
        fc.asyncProperty(fc.array(faults, { minLength: 1, maxLength: 8 }), async steps => {
            const client = new HttpTable({
                baseUrl: server.url,
                clock: systemClock,
                timeoutMs: TIMEOUT_MS,
                random: () => 0,
                breakerOpenMs: BREAKER_OPEN_MS,
            });
            for (const { version, ...step } of steps) {
                Object.assign(table.faults, step);
                commits += 1;
                const key = `row/${commits}`;
                const result = await client.commit(put(`write-${commits}`, key, commits, version));
                const row = table.snapshot().find(candidate => candidate.key === key);
                const outcome = result.isOk ? "ok" : result.error.kind;
                t.ok(TRUTHFUL[outcome]?.(row !== undefined), `${outcome} after ${JSON.stringify(step)}`);
                t.ok((row?.version ?? 1) === 1, "written at most once");
            }
            Object.assign(table.faults, { down: false, loseAnswers: 0 });
            await client.close();
        }),
        { seed: SEED, numRuns: 100 },
    );
});
