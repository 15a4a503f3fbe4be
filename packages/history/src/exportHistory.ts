import type { ScanPage, Table, TableError } from "@persimmonpitch/backing/table.js";
import { backoffDelay } from "@persimmonpitch/clock/backoff.js";
import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { HistoryRecord } from "@persimmonpitch/schema/historyRecord.js";
import { createHash } from "node:crypto";
import type { Manifest } from "./exportFormat.js";
import { historyPrefix, historyRowSchema, orphanPrefix } from "./historyRow.js";

/** What an export reads, and its limits. */
export interface ExportOptions {
    readonly table: Table;
    readonly clock: Clock;
    readonly team: string;
    /** Rows read at a time, which bounds the memory. */
    readonly pageRows?: number;
    /** Reads of one page before the export gives up. */
    readonly maxReads?: number;
    readonly random?: () => number;
    readonly signal?: AbortSignal;
}

const DEFAULT_PAGE_ROWS = 100;
const DEFAULT_MAX_READS = 8;
const BACKOFF = { baseMs: 200, maxMs: 10_000 };

/** The export ended before its manifest; what was returned so far is incomplete. */
export class ExportError extends Error {
    constructor(detail: string) {
        super(`the export is incomplete: ${detail}`);
    }
}

/** Counts and digests the lines that have been returned. */
class ManifestCounter {
    private readonly hash = createHash("sha256");
    private readonly subjects = { job: 0, request: 0 };
    private records = 0;

    add({ kind, sequence }: HistoryRecord, line: string): void {
        this.hash.update(line);
        this.records += 1;
        // Each subject has one record with sequence 0, so subjects are counted without keeping their ids.
        this.subjects[kind] += sequence === 0 ? 1 : 0;
    }

    finish(team: string, exportedAt: Millis, pages: number): Manifest {
        const { job: jobs, request: requests } = this.subjects;
        return { team, exportedAt, records: this.records, jobs, requests, pages, sha256: this.hash.digest("hex") };
    }
}

/**
 * The whole history of a team as JSON lines, each with its line feed: one line for each record, then the manifest.
 * An export without a manifest is incomplete; when the table stays out, the generator throws `ExportError`.
 */
export async function* exportHistory(options: ExportOptions): AsyncGenerator<string> {
    const { clock, team } = options;
    const counter = new ManifestCounter();
    const exportedAt = clock.wallTime();
    const orphans = await readOrphans(options);
    let pages = 0;
    let after: string | undefined;
    do {
        const page = await readPage(options, historyPrefix(team), after);
        pages += 1;
        for (const { key, value } of page.rows) {
            for (const record of recordsOf(key, value)) {
                if (orphans.isRepeated(record)) {
                    continue;
                }
                const line = `${JSON.stringify(record)}\n`;
                counter.add(record, line);
                yield line;
            }
        }
        after = page.next;
    }
    while (after !== undefined);
    yield `${JSON.stringify({ manifest: counter.finish(team, exportedAt, pages) })}\n`;
}

/** Records that agents handed over; only these can stand in the table twice, and there are few. */
class OrphanedRecords {
    private readonly keys = new Set<string>();
    private readonly returned = new Set<string>();

    add(record: HistoryRecord): void {
        this.keys.add(keyOf(record));
    }

    /** Whether the record was returned before. */
    isRepeated(record: HistoryRecord): boolean {
        const key = keyOf(record);
        if (!this.keys.has(key)) {
            return false;
        }
        const isRepeated = this.returned.has(key);
        this.returned.add(key);
        return isRepeated;
    }
}

const keyOf = ({ subjectId, sequence }: HistoryRecord): string => `${subjectId}/${sequence}`;

const readOrphans = async (options: ExportOptions): Promise<OrphanedRecords> => {
    const orphans = new OrphanedRecords();
    let after: string | undefined;
    do {
        const page = await readPage(options, orphanPrefix(options.team), after);
        page.rows.flatMap(({ key, value }) => recordsOf(key, value)).forEach(record => {
            orphans.add(record);
        });
        after = page.next;
    }
    while (after !== undefined);
    return orphans;
};

const recordsOf = (key: string, value: unknown): readonly HistoryRecord[] => {
    const row = historyRowSchema.safeParse(value);
    if (!row.success) {
        throw new ExportError(`the row ${key} is not a history row`);
    }
    return row.data.records;
};

/** Reads a page, again after a failure, so that a short outage does not end a long export. */
const readPage = async (options: ExportOptions, prefix: string, after: string | undefined): Promise<ScanPage> => {
    const { table, clock, random = Math.random, signal } = options;
    const maxReads = options.maxReads ?? DEFAULT_MAX_READS;
    let error: TableError | undefined;
    for (let failures = 0; failures < maxReads && signal?.aborted !== true; failures += 1) {
        if (failures > 0) {
            await clock.sleep(backoffDelay(BACKOFF, failures - 1, random), signal);
        }
        const page = await table.scan(prefix, after, options.pageRows ?? DEFAULT_PAGE_ROWS);
        if (page.isOk) {
            return page.value;
        }
        error = page.error;
    }
    throw new ExportError(
        signal?.aborted === true ? "it was aborted" : `the table answers ${error?.kind ?? "nothing"}`,
    );
};
