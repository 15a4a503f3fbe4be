import type { Row, ScanPage, Table, TableError } from "@persimmonpitch/backing/table.js";
import { historyPrefix, historyPut } from "@persimmonpitch/history/historyRow.js";
import type { HistoryEvent } from "@persimmonpitch/schema/historyRecord.js";
import { Result } from "true-myth";

const EVENTS: readonly HistoryEvent[] = ["accepted", "claimed", "started", "finished"];
const DIGITS = 9;
const UNAVAILABLE: TableError = { kind: "unavailable", detail: "The generated table only scans." };

/** A table of a team's job records that are made when they are read, so that the rows themselves take no memory. */
export class GeneratedHistory implements Table {
    constructor(private readonly team: string, private readonly records: number) {}

    scan(prefix: string, after: string | undefined, limit: number): Promise<Result<ScanPage, TableError>> {
        if (prefix !== historyPrefix(this.team)) {
            return Promise.resolve(Result.ok({ rows: [] }));
        }
        const start = after === undefined ? 0 : this.positionOf(after) + 1;
        const count = Math.max(0, Math.min(limit, this.records - start));
        const rows = Array.from({ length: count }, (_, index) => this.row(start + index));
        const last = rows.at(-1);
        return Promise.resolve(
            Result.ok(last === undefined || start + count >= this.records ? { rows } : { rows, next: last.key }),
        );
    }

    read(): Promise<Result<Row | undefined, TableError>> {
        return Promise.resolve(Result.err(UNAVAILABLE));
    }

    commit(): Promise<Result<Readonly<Record<string, number>>, TableError>> {
        return Promise.resolve(Result.err(UNAVAILABLE));
    }

    private positionOf(key: string): number {
        const [, subject = "", sequence = "0"] = /job-(\d+)\/(\d+)$/.exec(key) ?? [];
        return Number(subject) * EVENTS.length + Number(sequence);
    }

    private row(position: number): Row {
        const sequence = position % EVENTS.length;
        const subject = Math.floor(position / EVENTS.length).toString().padStart(DIGITS, "0");
        const put = historyPut({
            team: this.team,
            kind: "job",
            subjectId: `job-${subject}`,
            sequence,
            event: EVENTS[sequence] ?? "accepted",
            at: position,
            requestKey: `key-${subject}`,
            detail: "",
        });
        return { key: put.key, version: 1, value: put.value };
    }
}
