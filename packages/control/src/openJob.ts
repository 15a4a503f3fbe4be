import type { JobProgress, Outcome, TaskProgress } from "@persimmonpitch/workload/progress.js";
import { NO_TASK_PROGRESS } from "@persimmonpitch/workload/progress.js";
import type { StepJob } from "@persimmonpitch/workload/stepJob.js";
import { totalTasksOf } from "@persimmonpitch/workload/stepJob.js";
import type { StoredProgress } from "./jobProgressRows.js";
import { JobProgressRows } from "./jobProgressRows.js";
import { JobRunStats } from "./jobRunStats.js";

export { stepKeys } from "@persimmonpitch/workload/stepKeys.js";

/** A job that the controller is working on, with progress that may not be durable yet. */
export class OpenJob {
    readonly runStats = new JobRunStats();
    readonly rows: JobProgressRows;
    private tasks: Record<string, TaskProgress>;
    private currentOutcome: Outcome;
    private doneTasks: number;
    private readonly totalTasks: number;
    private readonly hasLongRunningStep: boolean;

    constructor(readonly job: StepJob, stored: StoredProgress) {
        const { progress } = stored;
        this.rows = new JobProgressRows(job, stored);
        this.tasks = { ...progress.tasks };
        this.currentOutcome = progress.outcome;
        this.doneTasks = Object.values(this.tasks).filter(({ isDone }) => isDone).length;
        this.totalTasks = totalTasksOf(job);
        this.hasLongRunningStep = job.steps.some(({ isLongRunning }) => isLongRunning);
    }

    get progress(): JobProgress {
        return { outcome: this.currentOutcome, tasks: this.tasks };
    }

    get isOpen(): boolean {
        return this.currentOutcome === "open";
    }

    task(key: string): TaskProgress {
        return this.tasks[key] ?? NO_TASK_PROGRESS;
    }

    /** Updates the progress of one task. The job completes when its last task is done. */
    update(key: string, change: Partial<TaskProgress>): void {
        const before = this.task(key);
        const after = { ...before, ...change };
        this.tasks[key] = after;
        this.rows.noteTask(key);
        this.doneTasks += Number(after.isDone) - Number(before.isDone);
        if (this.isOpen && !this.hasLongRunningStep && this.doneTasks === this.totalTasks) {
            this.finish("completed");
        }
    }

    /** Ends the job unless it has already ended. */
    finish(outcome: Outcome): void {
        if (this.isOpen) {
            this.currentOutcome = outcome;
            this.rows.noteOutcome();
        }
    }

    /** Fails a job whose progress the store refuses, and reduces its progress to that outcome. */
    failUnstorable(): void {
        this.finish("failed");
        this.rows.reduceToOutcome();
    }
}
