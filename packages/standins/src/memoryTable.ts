import type { Row, ScanPage, Table, TableError, Transaction } from "@persimmonpitch/backing/table.js";
import type { Clock } from "@persimmonpitch/clock/clock.js";
import { Result } from "true-myth";
import * as z from "zod";

/** Faults that a test can cause. */
export const tableFaultsSchema = z.object({
    /** Every call answers `unavailable`. */
    down: z.boolean(),
    /** Delay before each call takes effect, in milliseconds. */
    slow: z.number().nonnegative(),
    /** Number of next commits that take effect without an answer. */
    loseAnswers: z.number().int().nonnegative(),
    /** Number of next reads that return the row as it was before its last write. */
    staleReads: z.number().int().nonnegative(),
});
export type TableFaults = z.infer<typeof tableFaultsSchema>;

const NO_FAULTS: TableFaults = { down: false, slow: 0, loseAnswers: 0, staleReads: 0 };

/** Write ids kept for read-back; the oldest is forgotten first. */
const MAX_WRITE_IDS = 100_000;

/** Calls that the table has answered. */
export interface TableCounts {
    reads: number;
    scans: number;
    /** Commits that took effect. */
    writes: number;
    conflicts: number;
}

type Versions = Readonly<Record<string, number>>;

/** The answer to a write id; the first one is final. */
type WriteOutcome = Result<Versions, TableError>;

/** The platform's table in memory. */
export class MemoryTable implements Table {
    readonly faults: TableFaults = { ...NO_FAULTS };
    readonly counts: TableCounts = { reads: 0, scans: 0, writes: 0, conflicts: 0 };
    private readonly rows = new Map<string, Row>();
    private readonly previousRows = new Map<string, Row | undefined>();
    /** Versions outlive deletion, so a version of a key never names two rows. */
    private readonly lastVersions = new Map<string, number>();
    private readonly writes = new Map<string, WriteOutcome>();
    private sortedKeys: readonly string[] | undefined = [];

    constructor(private readonly clock: Clock) {}

    async read(key: string): Promise<Result<Row | undefined, TableError>> {
        const fault = await this.delayOrFail();
        if (fault !== undefined) {
            return Result.err(fault);
        }
        this.counts.reads += 1;
        if (this.faults.staleReads > 0) {
            this.faults.staleReads -= 1;
            return Result.ok(structuredClone(this.previousRows.get(key)));
        }
        return Result.ok(structuredClone(this.rows.get(key)));
    }

    async scan(prefix: string, after: string | undefined, limit: number): Promise<Result<ScanPage, TableError>> {
        const fault = await this.delayOrFail();
        if (fault !== undefined) {
            return Result.err(fault);
        }
        this.counts.scans += 1;
        this.sortedKeys ??= [...this.rows.keys()].sort();
        const found = takeRange(this.sortedKeys, prefix, after, limit + 1);
        const rows = found.slice(0, limit).flatMap(key => structuredClone(this.rows.get(key)) ?? []);
        const next = found.length > limit ? rows.at(-1)?.key : undefined;
        return Result.ok(next === undefined ? { rows } : { rows, next });
    }

    async commit(transaction: Transaction): Promise<Result<Versions, TableError>> {
        const fault = await this.delayOrFail();
        if (fault !== undefined) {
            return Result.err(fault);
        }
        const isNew = !this.writes.has(transaction.writeId);
        const outcome = this.writes.get(transaction.writeId) ?? this.decide(transaction);
        if (isNew) {
            this.keepWrite(transaction.writeId, outcome);
        }
        if (outcome.isOk && this.faults.loseAnswers > 0) {
            this.faults.loseAnswers -= 1;
            return Result.err({ kind: "unclear", detail: "the answer was lost" });
        }
        return outcome;
    }

    /** The answer that a write id got, or `undefined` when the table has not seen it. */
    async readWrite(writeId: string): Promise<Result<Versions | undefined, TableError>> {
        const fault = await this.delayOrFail();
        if (fault !== undefined) {
            return Result.err(fault);
        }
        this.counts.reads += 1;
        return this.writes.get(writeId) ?? Result.ok(undefined);
    }

    /** All rows in key order, without faults and counts. */
    snapshot(): readonly Row[] {
        return [...this.rows.keys()].sort().flatMap(key => structuredClone(this.rows.get(key)) ?? []);
    }

    private async delayOrFail(): Promise<TableError | undefined> {
        if (this.faults.slow > 0) {
            await this.clock.sleep(this.faults.slow);
        }
        return this.faults.down ? { kind: "unavailable", detail: "the table is down" } : undefined;
    }

    private decide(transaction: Transaction): WriteOutcome {
        const keys = this.failedChecks(transaction);
        if (keys.length > 0) {
            this.counts.conflicts += 1;
            return Result.err({ kind: "conflict", keys });
        }
        return Result.ok(this.apply(transaction));
    }

    private failedChecks(transaction: Transaction): readonly string[] {
        return transaction.checks
            .filter(({ key, version }) => (this.rows.get(key)?.version ?? 0) !== version)
            .map(({ key }) => key);
    }

    private apply({ puts, deletes }: Transaction): Versions {
        for (const key of deletes) {
            this.previousRows.set(key, this.rows.get(key));
            this.rows.delete(key);
        }
        const versions: Record<string, number> = {};
        for (const { key, value } of puts) {
            const version = (this.lastVersions.get(key) ?? 0) + 1;
            this.previousRows.set(key, this.rows.get(key));
            this.rows.set(key, { key, version, value: structuredClone(value) });
            this.lastVersions.set(key, version);
            versions[key] = version;
        }
        this.sortedKeys = undefined;
        this.counts.writes += 1;
        return versions;
    }

    private keepWrite(writeId: string, outcome: WriteOutcome): void {
        this.writes.set(writeId, outcome);
        if (this.writes.size > MAX_WRITE_IDS) {
            const [oldest] = this.writes.keys();
            this.writes.delete(oldest ?? writeId);
        }
    }
}

const takeRange = (
    keys: readonly string[],
    prefix: string,
    after: string | undefined,
    limit: number,
): readonly string[] => {
    const isInRange = (key: string) => key >= prefix && (after === undefined || key > after);
    const start = firstIndex(keys, isInRange);
    const range = keys.slice(start, start + limit);
    return range.filter(key => key.startsWith(prefix));
};

/** Binary search for the first key for which a rising condition holds. */
const firstIndex = (keys: readonly string[], holds: (key: string) => boolean): number => {
    let low = 0;
    let high = keys.length;
    while (low < high) {
        const middle = (low + high) >>> 1;
        if (holds(keys[middle] ?? "")) {
            high = middle;
        }
        else {
            low = middle + 1;
        }
    }
    return low;
};
