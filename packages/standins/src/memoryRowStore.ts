import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import type { RowStore } from "@persimmonpitch/control/rowStore.js";
import type {
    ChangedRow,
    CommitError,
    Committed,
    ReadError,
    RowChanges,
    RowPage,
    RowRange,
    RowTransaction,
    StoredRow,
} from "@persimmonpitch/workload/storedRow.js";
import { Result } from "true-myth";
import * as z from "zod";

/** Faults that a test can cause. */
export const rowStoreFaultsSchema = z.object({
    /** Every call answers `unavailable`. */
    down: z.boolean(),
    /** Names of the clients whose calls are refused. */
    refused: z.array(z.string()),
    /** Names of the clients whose calls vanish: nothing is done, and they end without an answer after `silenceMs`. */
    silent: z.array(z.string()),
    silenceMs: z.number().nonnegative(),
    /** Delay before each call takes effect, in milliseconds. */
    slow: z.number().nonnegative(),
    /** Number of next commits that take effect but answer `unclear`. */
    loseAnswers: z.number().int().nonnegative(),
    /** Number of next commits that answer `unclear` and take effect later, if their conditions still hold then. */
    delayCommits: z.number().int().nonnegative(),
    /** How much later, in milliseconds. */
    commitDelayMs: z.number().nonnegative(),
    /** Followers hear of no changes. */
    quietFollows: z.boolean(),
    /** Bytes of the longest value that is accepted, encoded as base64. */
    maxValueBytes: z.number(),
    /** Keys that begin with one of these texts are refused. */
    refusedKeys: z.array(z.string()),
});
export type RowStoreFaults = z.infer<typeof rowStoreFaultsSchema>;

const NO_FAULTS: RowStoreFaults = {
    down: false,
    refused: [],
    silent: [],
    silenceMs: 700,
    slow: 0,
    loseAnswers: 0,
    delayCommits: 0,
    commitDelayMs: 2_000,
    quietFollows: false,
    maxValueBytes: 65_536,
    refusedKeys: [],
};

/** Calls that the store has answered without a fault. */
export interface RowStoreCounts {
    commits: number;
    conflicts: number;
    scans: number;
    follows: number;
}

/** One table of a transactional row store, in memory. Several clients share it. */
export class MemoryRowStore {
    readonly counts: RowStoreCounts = { commits: 0, conflicts: 0, scans: 0, follows: 0 };
    private readonly faults: RowStoreFaults = { ...NO_FAULTS };
    /** The newest change of each key that was ever written; a removed row stays here without a value. */
    private readonly changes = new Map<string, ChangedRow>();
    private readonly followers = new Set<WakeSignal>();
    private version = 0;
    private compactedVersion = 0;

    constructor(private readonly clock: Clock) {}

    /** The store as the process of that name reaches it. */
    client(name: string): RowStore {
        return {
            commit: transaction => this.commit(name, transaction),
            scan: range => this.scan(name, range),
            follow: (after, waitMs, signal) => this.follow(name, after, waitMs, signal),
        };
    }

    /** Sets faults; calls that wait for changes notice at once. */
    setFaults(faults: Partial<RowStoreFaults>): void {
        Object.assign(this.faults, faults);
        this.wakeFollowers();
    }

    /** Drops the history, so that a follower of an older version has to scan the table again. */
    compact(): void {
        this.compactedVersion = this.version;
    }

    /** All rows in key order, without faults and counts. */
    snapshot(): readonly StoredRow[] {
        return [...this.changes.values()].flatMap(toStored).sort((a, b) => a.key < b.key ? -1 : 1);
    }

    private async commit(client: string, transaction: RowTransaction): Promise<Result<Committed, CommitError>> {
        const fault = await this.delayOrFail(client);
        if (fault !== undefined) {
            return Result.err(this.isSilent(client) ? { ...fault, kind: "unclear" } : fault);
        }
        const refused = (transaction.puts ?? []).find(put => this.isRefused(put));
        if (refused !== undefined) {
            return Result.err({ kind: "rejected", detail: `the row ${refused.key} is refused` });
        }
        if (this.faults.delayCommits > 0) {
            this.faults.delayCommits -= 1;
            void this.clock.sleep(this.faults.commitDelayMs).then(() => this.decide(transaction));
            return Result.err({ kind: "unclear", detail: "the commit is delayed" });
        }
        const outcome = this.decide(transaction);
        if (this.faults.loseAnswers > 0) {
            this.faults.loseAnswers -= 1;
            return Result.err({ kind: "unclear", detail: "the answer was lost" });
        }
        return outcome;
    }

    private isRefused({ key, value }: { readonly key: string; readonly value: string; }): boolean {
        const encodedBytes = Buffer.from(value).toString("base64").length;
        return encodedBytes > this.faults.maxValueBytes || this.faults.refusedKeys.some(text => key.startsWith(text));
    }

    private async scan(client: string, { from, to, limit }: RowRange): Promise<Result<RowPage, ReadError>> {
        const fault = await this.delayOrFail(client);
        if (fault !== undefined) {
            return Result.err(fault);
        }
        this.counts.scans += 1;
        const found = this.snapshot().filter(({ key }) => key >= from && (to === undefined || key < to));
        return Result.ok({
            rows: found.slice(0, limit),
            hasMore: found.length > limit,
            version: this.version,
            nowMs: this.clock.now(),
        });
    }

    private async follow(
        client: string,
        after: number,
        waitMs: Millis,
        signal?: AbortSignal,
    ): Promise<Result<RowChanges, ReadError>> {
        const delayed = await this.delayOrFail(client);
        if (delayed !== undefined) {
            return Result.err(delayed);
        }
        const until = this.clock.now() + waitMs;
        const wake = new WakeSignal();
        this.followers.add(wake);
        while (this.hasNothing(client, after) && this.clock.now() < until && signal?.aborted !== true) {
            await wake.wait(this.clock, until - this.clock.now(), signal);
        }
        this.followers.delete(wake);
        if (this.isSilent(client)) {
            await this.clock.sleep(this.faults.silenceMs, signal);
            return Result.err({ kind: "unavailable", detail: `the store does not answer ${client}` });
        }
        return signal?.aborted === true
            ? Result.err({ kind: "unavailable", detail: "the call was aborted" })
            : this.changesAfter(client, after);
    }

    private hasNothing(client: string, after: number): boolean {
        const isUpToDate = this.version <= after || this.faults.quietFollows;
        return after >= this.compactedVersion && isUpToDate && this.faultOf(client) === undefined;
    }

    private changesAfter(client: string, after: number): Result<RowChanges, ReadError> {
        const fault = this.faultOf(client);
        if (fault !== undefined) {
            return Result.err(fault);
        }
        if (after < this.compactedVersion) {
            return Result.err({ kind: "compacted" });
        }
        this.counts.follows += 1;
        if (this.faults.quietFollows) {
            return Result.ok({ rows: [], version: after, nowMs: this.clock.now() });
        }
        const rows = [...this.changes.values()]
            .filter(({ version }) => version > after)
            .sort((a, b) => a.version - b.version || (a.key < b.key ? -1 : 1));
        return Result.ok({ rows: structuredClone(rows), version: this.version, nowMs: this.clock.now() });
    }

    private decide({ expected = [], puts = [], deletes = [] }: RowTransaction): Result<Committed, CommitError> {
        const holds = expected.every(({ key, version }) => (this.read(key)?.version ?? 0) === version);
        if (!holds) {
            this.counts.conflicts += 1;
            return Result.err({ kind: "conflict", rows: expected.flatMap(({ key }) => this.read(key) ?? []) });
        }
        this.counts.commits += 1;
        this.version += 1;
        for (const key of deletes) {
            if (this.read(key) !== undefined) {
                this.changes.set(key, { key, version: this.version });
            }
        }
        for (const { key, value } of puts) {
            this.changes.set(key, { key, value, version: this.version });
        }
        this.wakeFollowers();
        return Result.ok({ version: this.version, nowMs: this.clock.now() });
    }

    private read(key: string): StoredRow | undefined {
        const change = this.changes.get(key);
        return change === undefined ? undefined : toStored(change)[0];
    }

    private async delayOrFail(client: string): Promise<Unavailable | undefined> {
        if (this.faults.slow > 0) {
            await this.clock.sleep(this.faults.slow);
        }
        if (this.isSilent(client)) {
            await this.clock.sleep(this.faults.silenceMs);
            return { kind: "unavailable", detail: `the store does not answer ${client}` };
        }
        return this.faultOf(client);
    }

    private isSilent(client: string): boolean {
        return this.faults.silent.includes(client);
    }

    private faultOf(client: string): Unavailable | undefined {
        if (this.faults.down) {
            return { kind: "unavailable", detail: "the store is down" };
        }
        return this.faults.refused.includes(client)
            ? { kind: "unavailable", detail: `the store refuses ${client}` }
            : undefined;
    }

    private wakeFollowers(): void {
        this.followers.forEach(wake => {
            wake.wake();
        });
    }
}

interface Unavailable {
    readonly kind: "unavailable";
    readonly detail: string;
}

const toStored = ({ key, value, version }: ChangedRow): readonly StoredRow[] =>
    value === undefined ? [] : [{ key, value, version }];
