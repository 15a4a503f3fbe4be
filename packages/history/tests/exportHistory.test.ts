import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { formatFindings } from "@persimmonpitch/findings/finding.js";
import type { HistoryEvent, HistoryRecord } from "@persimmonpitch/schema/historyRecord.js";
import { MemoryTable } from "@persimmonpitch/standins/memoryTable.js";
import fc from "fast-check";
import t from "tap";
import { ExportError, exportHistory } from "../src/exportHistory.js";
import { historyBatchPuts, historyPut } from "../src/historyRow.js";
import { verifyHistory } from "../src/verifyHistory.js";

const SEED = 20_261_204;
const TEAM = "weavers";

const record = (subjectId: string, sequence: number, event: HistoryEvent, more: Partial<HistoryRecord> = {}) => ({
    team: TEAM,
    kind: "job" as const,
    subjectId,
    sequence,
    event,
    at: 1_000 + sequence,
    requestKey: `key-${subjectId}`,
    detail: "",
    ...more,
});

const JOB = [record("j1", 0, "accepted"), record("j1", 1, "claimed"), record("j1", 2, "finished", { ran: "yes" })];
const REQUESTS = ["r1", "r2", "r3"].map(id => record(id, 0, "finished", { kind: "request" }));
const OTHER_TEAM = record("j2", 0, "accepted", { team: "weavers-2" });

const fill = async (table: MemoryTable): Promise<void> => {
    const puts = [...JOB.map(historyPut), ...historyBatchPuts("b1", [...REQUESTS, OTHER_TEAM])];
    await table.commit({ writeId: "w", checks: [], puts: [...puts], deletes: [] });
};

const exportAll = async (table: MemoryTable, pageRows: number): Promise<string[]> => {
    const lines: string[] = [];
    for await (const line of exportHistory({ table, clock: new FakeClock(), team: TEAM, pageRows })) {
        lines.push(line);
    }
    return lines;
};

// Guards against an export that misses records, holds those of another team, or depends on the size of its pages.
void t.test("export", async t => {
    const table = new MemoryTable(new FakeClock());
    await fill(table);
    const lines = await exportAll(table, 2);
    t.matchSnapshot(lines);
    const onePage = await exportAll(table, 1_000);
    t.strictSame(onePage.slice(0, -1), lines.slice(0, -1));
    t.strictSame(await verifyHistory(lines, { file: "export.jsonl" }), []);
});

// Guards against a manifest after an export that could not be completed.
void t.test("export during an outage", async t => {
    const clock = new FakeClock();
    const table = new MemoryTable(clock);
    await fill(table);
    const options = { table, clock, team: TEAM, pageRows: 1, random: () => 1 };
    const short = exportHistory(options);
    await short.next();
    table.faults.down = true;
    const second = short.next();
    await clock.advance(1_000);
    table.faults.down = false;
    await clock.advance(1_000);
    t.match(await second, { done: false });
    const long = exportHistory(options);
    table.faults.down = true;
    const failure = long.next().catch((error: unknown) => error);
    await clock.advance(100_000);
    t.ok(await failure instanceof ExportError);
});

/** Changes to the lines of a true export. */
const FORGERIES: Readonly<Record<string, (lines: string[]) => string[]>> = {
    unchanged: lines => lines,
    empty: () => [],
    "line removed from the middle of a job": lines => lines.filter(line => !line.includes("claimed")),
    "last event removed": lines => lines.filter(line => !line.includes("\"sequence\":2")),
    "request removed": lines => lines.filter(line => !line.includes("r2")),
    "line repeated": lines => [lines[0] ?? "", ...lines],
    "event changed": lines => lines.map(line => line.replace("\"ran\":\"yes\"", "\"ran\":\"no\"")),
    "event after the end":
        lines => [...lines.slice(0, -1), JSON.stringify(record("j1", 3, "requeued")), lines.at(-1) ?? ""],
    "record of another team": lines => [...lines.slice(0, -1), JSON.stringify(OTHER_TEAM), lines.at(-1) ?? ""],
    "cut halfway through a line": lines => [...lines.slice(0, 2), lines[2]?.slice(0, 20) ?? ""],
    "line after the manifest": lines => [...lines, lines[0] ?? ""],
    "order changed": lines => [...lines.slice(0, -1).reverse(), lines.at(-1) ?? ""],
};

// Guards against a verification that passes an export which was changed or cut.
void t.test("verification", async t => {
    const table = new MemoryTable(new FakeClock());
    await fill(table);
    const lines = await exportAll(table, 2);
    for (const [name, forge] of Object.entries(FORGERIES)) {
        const findings = await verifyHistory(forge(lines), { file: "export.jsonl" });
        t.matchSnapshot(formatFindings(findings), name);
    }
    const asOther = await verifyHistory(lines, { file: "export.jsonl", team: "dyers" });
    t.matchSnapshot(formatFindings(asOther), "export of another team");
});

// Guards against a change of any character of an export that verification does not notice.
void t.test("any changed character is found", async () => {
    const table = new MemoryTable(new FakeClock());
    await fill(table);
    const text = (await exportAll(table, 2)).join("");
    const manifestStart = text.lastIndexOf("\n", text.length - 2) + 1;
    await fc.assert(
        fc.asyncProperty(
            fc.nat(manifestStart - 1),
            fc.string({ minLength: 1, maxLength: 1 }),
            async (at, character) => {
                const changed = text.slice(0, at) + character + text.slice(at + 1);
                const findings = await verifyHistory(changed.trimEnd().split("\n"), { file: "export.jsonl" });
                return changed === text || findings.length > 0;
            },
        ),
        { seed: SEED, numRuns: 10_000 },
    );
});
