import type { JobProgress, TaskProgress } from "@persimmonpitch/workload/progress.js";
import { NO_PROGRESS } from "@persimmonpitch/workload/progress.js";
import { ProgressLayout } from "@persimmonpitch/workload/progressLayout.js";
import { encodeProgress, encodeSplitHead, encodeTasks } from "@persimmonpitch/workload/progressRow.js";
import type { StepJob } from "@persimmonpitch/workload/stepJob.js";
import type { Replica } from "./replica.js";
import { rowKeys } from "./rows.js";

/** Progress of a job as read from its rows. */
export interface StoredProgress {
    readonly progress: JobProgress;
    /** Versions of the rows by key; a row that does not exist has none. */
    readonly versions: ReadonlyMap<string, number>;
}

/** Progress of a job of which no row exists. */
export const NOTHING_STORED: StoredProgress = { progress: NO_PROGRESS, versions: new Map() };

/** A row and the value to write. */
export interface ProgressRow {
    readonly key: string;
    readonly value: string;
}

/** Reads the progress of a job from the replica; undefined if one of its rows cannot be parsed. */
export const readStoredProgress = (replica: Replica, job: StepJob): StoredProgress | undefined => {
    const { jobId } = job;
    const { taskRowCount } = new ProgressLayout(job);
    const keys = Array.from({ length: taskRowCount }, (_, row) => rowKeys.tasks(jobId, row));
    if (replica.isProgressUnreadable(jobId) || keys.some(key => replica.isTaskRowUnreadable(key))) {
        return undefined;
    }
    const head = replica.progress.get(jobId);
    const versions = new Map<string, number>(head === undefined ? [] : [[rowKeys.run(jobId), head.version]]);
    // A job that was stored in a single row by an earlier release may have only some rows of its tasks yet.
    const tasks: Record<string, TaskProgress> = { ...head?.value.tasks };
    for (const key of keys) {
        const row = replica.taskRows(key);
        if (row !== undefined) {
            versions.set(key, row.version);
            Object.assign(tasks, row.value);
        }
    }
    const progress: JobProgress = { outcome: head?.value.outcome ?? "open", tasks };
    return {
        progress: head?.value.split === undefined ? progress : { ...progress, split: head.value.split },
        versions,
    };
};

/** The rows that hold the progress of one job, their versions, and which of them have to be written. */
export class JobProgressRows {
    /** Whether only the outcome is written. */
    isReduced = false;
    private readonly layout: ProgressLayout;
    private readonly headKey: string;
    private readonly versions: Map<string, number>;
    private readonly keysByTaskRow = new Map<number, Set<string>>();
    private readonly changedTaskRows = new Set<number>();
    private isHeadChanged = false;
    private isStarted: boolean;

    constructor(private readonly job: StepJob, { progress, versions }: StoredProgress) {
        this.layout = new ProgressLayout(job);
        this.headKey = rowKeys.run(job.jobId);
        this.versions = new Map(versions);
        this.isStarted = progress.split?.isStarted ?? false;
        const keys = Object.keys(progress.tasks);
        keys.forEach(key => {
            this.keysIn(this.layout.taskRowOf(key)).add(key);
        });
        if (this.layout.isSplit && progress.split === undefined && keys.length > 0) {
            keys.forEach(key => {
                this.noteTask(key);
            });
        }
    }

    /** Whether the row with this key holds the outcome. */
    isHead(key: string): boolean {
        return key === this.headKey;
    }

    /** Notes that the progress of a task has changed. */
    noteTask(key: string): void {
        const row = this.layout.taskRowOf(key);
        this.keysIn(row).add(key);
        this.changedTaskRows.add(row);
        this.isHeadChanged ||= !this.isStarted;
        this.isStarted = true;
    }

    /** Notes that the outcome has changed. */
    noteOutcome(): void {
        this.isHeadChanged = true;
    }

    /** Writes only the outcome from now on, because the store refuses the rows as they are. */
    reduceToOutcome(): void {
        this.isReduced = true;
        this.isHeadChanged = true;
    }

    versionOf(key: string): number {
        return this.versions.get(key) ?? 0;
    }

    setVersion(key: string, version: number): void {
        this.versions.set(key, version);
    }

    /**
     * Encodes the rows that have changed since the last call, the row with the outcome last. The row of a small job is
     * always included.
     */
    takeChanged(progress: JobProgress): readonly ProgressRow[] {
        const taskRows = this.layout.isSplit && !this.isReduced
            ? [...this.changedTaskRows].map(row => this.encodeTaskRow(row, progress))
            : [];
        const head = this.isHeadChanged || !this.layout.isSplit
            ? [{ key: this.headKey, value: this.encodeHead(progress) }]
            : [];
        this.changedTaskRows.clear();
        this.isHeadChanged = false;
        return [...taskRows, ...head];
    }

    private encodeTaskRow(row: number, { tasks }: JobProgress): ProgressRow {
        const entries = [...this.keysIn(row)].flatMap(key => {
            const task = tasks[key];
            return task === undefined ? [] : [[key, task] as const];
        });
        return { key: rowKeys.tasks(this.job.jobId, row), value: encodeTasks(Object.fromEntries(entries)) };
    }

    private encodeHead(progress: JobProgress): string {
        if (this.isReduced) {
            return encodeProgress({ outcome: progress.outcome, tasks: {} });
        }
        return this.layout.isSplit
            ? encodeSplitHead(progress.outcome, { isStarted: this.isStarted })
            : encodeProgress(progress);
    }

    private keysIn(row: number): Set<string> {
        const keys = this.keysByTaskRow.get(row) ?? new Set();
        this.keysByTaskRow.set(row, keys);
        return keys;
    }
}
