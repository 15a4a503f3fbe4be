import type { LoadRow } from "@persimmonpitch/admission/loadRow.js";
import { loadRowSchema } from "@persimmonpitch/admission/loadRow.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { JobProgress, TaskProgress } from "@persimmonpitch/workload/progress.js";
import { progressRowSchema, taskRowSchema } from "@persimmonpitch/workload/progressRow.js";
import type { StepJob } from "@persimmonpitch/workload/stepJob.js";
import { stepJobSchema } from "@persimmonpitch/workload/stepJob.js";
import type { ChangedRow, StoredRow } from "@persimmonpitch/workload/storedRow.js";
import type * as z from "zod";
import { parseRow } from "./parseRow.js";
import type { CancelRow, JobOwner, ProcessRow, RoleRow, TermRow, TombstoneRow } from "./rows.js";
import {
    cancelRowSchema,
    processRowSchema,
    roleRowSchema,
    termRowSchema,
    tombstoneKeys,
    tombstoneRowSchema,
} from "./rows.js";
import type { RowSink } from "./tableFollower.js";

/** A parsed row with the version that a conditional write has to name. */
export interface Versioned<T> {
    readonly value: T;
    readonly version: number;
}

/** Schema and known rows of one kind. */
interface RowSet<T> {
    readonly schema: z.ZodType<T>;
    readonly rows: Map<string, Versioned<T>>;
    /** Names of the rows whose latest value cannot be parsed. */
    readonly unreadable: Set<string>;
}

const createRowSet = <T>(schema: z.ZodType<T>): RowSet<T> => ({ schema, rows: new Map(), unreadable: new Set() });

/** Row sets by kind, which is the part of the key before the slash. */
interface RowSets {
    readonly job: RowSet<StepJob>;
    readonly cancel: RowSet<CancelRow>;
    readonly tombstone: RowSet<TombstoneRow>;
    readonly run: RowSet<JobProgress>;
    readonly tasks: RowSet<Readonly<Record<string, TaskProgress>>>;
    readonly agent: RowSet<ProcessRow>;
    readonly entry: RowSet<ProcessRow>;
    readonly role: RowSet<RoleRow>;
    readonly term: RowSet<TermRow>;
    readonly load: RowSet<LoadRow>;
}

const createRowSets = (): RowSets => ({
    job: createRowSet<StepJob>(stepJobSchema),
    cancel: createRowSet<CancelRow>(cancelRowSchema),
    tombstone: createRowSet<TombstoneRow>(tombstoneRowSchema),
    run: createRowSet<JobProgress>(progressRowSchema),
    tasks: createRowSet<Readonly<Record<string, TaskProgress>>>(taskRowSchema),
    agent: createRowSet<ProcessRow>(processRowSchema),
    entry: createRowSet<ProcessRow>(processRowSchema),
    role: createRowSet<RoleRow>(roleRowSchema),
    term: createRowSet<TermRow>(termRowSchema),
    load: createRowSet<LoadRow>(loadRowSchema),
});

const isKind = (kind: string, rowSets: RowSets): kind is keyof RowSets => Object.hasOwn(rowSets, kind);

/** Splits a key at its first slash; a key without one is a kind that has a single row. */
const splitKey = (key: string): { readonly kind: string; readonly name: string; } => {
    const slash = key.indexOf("/");
    return slash < 0 ? { kind: key, name: "" } : { kind: key.slice(0, slash), name: key.slice(slash + 1) };
};

/** Called with the changed keys after each change. */
export type ReplicaListener = (keys: readonly string[]) => void;

/** In-memory copy of the state table. */
export class Replica implements RowSink {
    private rowSets = createRowSets();
    private readonly listeners = new Set<ReplicaListener>();

    constructor(private readonly logger: Logger) {}

    get jobs(): ReadonlyMap<string, Versioned<StepJob>> {
        return this.rowSets.job.rows;
    }

    get cancels(): ReadonlyMap<string, Versioned<CancelRow>> {
        return this.rowSets.cancel.rows;
    }

    /** Tombstones by job id and owner, as in their keys. */
    get tombstones(): ReadonlyMap<string, Versioned<TombstoneRow>> {
        return this.rowSets.tombstone.rows;
    }

    /** Whether the owner cancelled the job before it was stored. */
    hasTombstone(jobId: string, owner: JobOwner): boolean {
        return tombstoneKeys(jobId, owner).some(key =>
            this.tombstones.get(splitKey(key).name)?.value.queue === owner.queue
        );
    }

    get progress(): ReadonlyMap<string, Versioned<JobProgress>> {
        return this.rowSets.run.rows;
    }

    /** Whether the stored progress of the job cannot be parsed by this process. */
    isProgressUnreadable(jobId: string): boolean {
        return this.rowSets.run.unreadable.has(jobId);
    }

    /** The progress of tasks of a large job in the row with that key. */
    taskRows(key: string): Versioned<Readonly<Record<string, TaskProgress>>> | undefined {
        return this.rowSets.tasks.rows.get(splitKey(key).name);
    }

    /** Whether the row of tasks with that key cannot be parsed by this process. */
    isTaskRowUnreadable(key: string): boolean {
        return this.rowSets.tasks.unreadable.has(splitKey(key).name);
    }

    get agents(): ReadonlyMap<string, Versioned<ProcessRow>> {
        return this.rowSets.agent.rows;
    }

    get entries(): ReadonlyMap<string, Versioned<ProcessRow>> {
        return this.rowSets.entry.rows;
    }

    get role(): Versioned<RoleRow> | undefined {
        return this.rowSets.role.rows.get("");
    }

    get term(): Versioned<TermRow> | undefined {
        return this.rowSets.term.rows.get("");
    }

    /** The load of the cluster as the controller last published it. */
    get load(): Versioned<LoadRow> | undefined {
        return this.rowSets.load.rows.get("");
    }

    /** Calls `listener` after each change. Returns a function that unsubscribes it. */
    listen(listener: ReplicaListener): () => void {
        this.listeners.add(listener);
        return () => {
            this.listeners.delete(listener);
        };
    }

    /** Replaces all rows except for announced rows that are newer than the scan. */
    reset(rows: readonly StoredRow[], version: number): void {
        const previous = Object.values(this.rowSets).map((rowSet: RowSet<unknown>) => rowSet.rows);
        this.rowSets = createRowSets();
        Object.values(this.rowSets).forEach((rowSet: RowSet<unknown>, index) => {
            previous[index]?.forEach((row, name) => {
                if (row.version > version) {
                    rowSet.rows.set(name, row);
                }
            });
        });
        this.apply(rows);
    }

    apply(rows: readonly ChangedRow[]): void {
        for (const row of rows) {
            this.applyRow(row);
        }
        if (rows.length > 0) {
            const keys = rows.map(({ key }) => key);
            for (const listener of this.listeners) {
                listener(keys);
            }
        }
    }

    private applyRow({ key, value, version }: ChangedRow): void {
        const { kind, name } = splitKey(key);
        if (!isKind(kind, this.rowSets)) {
            this.logger.log("warn", "replica.unknownRow", { key });
            return;
        }
        this.applyToRowSet<unknown>(this.rowSets[kind], { key, name, value, version });
    }

    private applyToRowSet<T>(
        rowSet: RowSet<T>,
        { key, name, value, version }: ChangedRow & { readonly name: string; },
    ): void {
        // Each version arrives twice: from the peer that wrote it and from the store.
        if ((rowSet.rows.get(name)?.version ?? 0) >= version) {
            return;
        }
        rowSet.unreadable.delete(name);
        if (value === undefined) {
            rowSet.rows.delete(name);
            return;
        }
        const parsed = parseRow(rowSet.schema, value);
        if (parsed === undefined) {
            this.logger.log("warn", "replica.malformedRow", { key });
            rowSet.unreadable.add(name);
            return;
        }
        rowSet.rows.set(name, { value: parsed, version });
    }
}
