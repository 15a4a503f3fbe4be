import type { StepJob } from "./stepJob.js";
import { totalTasksOf } from "./stepJob.js";
import { parseTaskKey } from "./taskName.js";

/**
 * Number of tasks whose progress is stored in one row. A row of so many tasks with the longest checkpoints on as many
 * executors is shorter than the 64 KiB that the store accepts, also when encoded as base64.
 */
export const TASKS_PER_ROW = 100;

/** Longest checkpoint that is stored, as JSON; a task with a longer one starts from its beginning. */
export const MAX_CHECKPOINT_BYTES = 256;

/** Whether the checkpoint is short enough to be stored. */
export const isStorableCheckpoint = (checkpoint: string): boolean =>
    Buffer.byteLength(JSON.stringify(checkpoint)) <= MAX_CHECKPOINT_BYTES;

/** How the progress of a job is distributed over rows, by the positions of its tasks. */
export class ProgressLayout {
    /** Whether the tasks are stored in rows of their own; a small job has a single row. */
    readonly isSplit: boolean;
    readonly taskRowCount: number;
    private readonly stepOffsets: readonly number[];
    private readonly tasksPerOccurrence: number;

    constructor(job: StepJob) {
        const offsets: number[] = [];
        let offset = 0;
        for (const { count } of job.steps) {
            offsets.push(offset);
            offset += count;
        }
        this.stepOffsets = offsets;
        this.tasksPerOccurrence = offset;
        this.isSplit = totalTasksOf(job) > TASKS_PER_ROW;
        this.taskRowCount = this.isSplit ? Math.ceil(totalTasksOf(job) / TASKS_PER_ROW) : 0;
    }

    /** Number of the row of a task. */
    taskRowOf(key: string): number {
        const { occurrence, step, index } = parseTaskKey(key) ?? { occurrence: 0, step: 0, index: 0 };
        const position = occurrence * this.tasksPerOccurrence + (this.stepOffsets[step] ?? 0) + index;
        return Math.floor(position / TASKS_PER_ROW);
    }
}
