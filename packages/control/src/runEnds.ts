import type { EndKind } from "@persimmonpitch/workload/executorReport.js";
import { parseTaskName, taskKey, taskName } from "@persimmonpitch/workload/taskName.js";
import type { ExecutorState } from "./executorState.js";
import type { OpenJob } from "./openJob.js";
import { stepKeys } from "./openJob.js";

/** A run that ended or was lost. For a late end, the run is no longer tracked. */
export interface EndedRun {
    readonly openJob: OpenJob;
    readonly task: string;
    readonly key: string;
    readonly run: number;
    readonly checkpoint: string;
}

export interface RunEndsOptions {
    readonly executors: ReadonlyMap<string, ExecutorState>;
    /** Returns the number of failures after which a task of the job is not retried. */
    readonly maxAttempts: (openJob: OpenJob) => number;
    /** Called when the progress of a job has changed. */
    readonly onChanged: (openJob: OpenJob) => void;
}

/** Applies ends of runs to the progress of their jobs. */
export class RunEnds {
    constructor(private readonly options: RunEndsOptions) {}

    /** Applies an end that has not been acknowledged yet. */
    apply(kind: EndKind, ended: EndedRun): void {
        endHandlers[kind](this, ended);
    }

    /** Marks the task as done. A gang is done as a whole, although its other members may be listed a little longer. */
    completeTask(ended: EndedRun): void {
        const { openJob, task, key } = ended;
        const parsed = parseTaskName(task);
        const step = parsed === undefined ? undefined : openJob.job.steps[parsed.step];
        if (parsed === undefined || step === undefined || step.isLongRunning) {
            this.clearPlacement(ended);
            return;
        }
        const members = step.isGang ? stepKeys(step, parsed.occurrence, parsed.step) : [key];
        for (const member of members) {
            this.markTaskDone(openJob, member);
            openJob.update(member, { isDone: true, placement: undefined, checkpoint: undefined });
        }
        this.options.onChanged(openJob);
    }

    /** Counts a failure of the run or its executor. A gang counts one failure per run. */
    recordFailure(ended: EndedRun): void {
        const { openJob, task, key, run } = ended;
        const parsed = parseTaskName(task);
        const step = parsed === undefined ? undefined : openJob.job.steps[parsed.step];
        const counterKey = step?.isGang === true && parsed !== undefined
            ? taskKey({ ...parsed, index: 0 })
            : key;
        const counter = openJob.task(counterKey);
        // Ends that are not acknowledged are listed again to a new controller, including failures before the last
        // failed run.
        if (run > (counter.failedRun ?? 0)) {
            openJob.update(counterKey, { failures: counter.failures + 1, failedRun: run });
        }
        this.clearPlacement(ended);
        const isOutOfAttempts = openJob.task(counterKey).failures >= this.options.maxAttempts(openJob);
        if (isOutOfAttempts && step?.isLongRunning !== true) {
            openJob.finish("failed");
        }
        this.options.onChanged(openJob);
    }

    /** The run is over. Its task has to run again unless a later run has already started. */
    clearPlacement({ openJob, task, key, run, checkpoint }: EndedRun): void {
        const progress = openJob.task(key);
        if (progress.run !== run || progress.isDone) {
            return;
        }
        openJob.update(key, { placement: undefined, ...(checkpoint === "" ? {} : { checkpoint }) });
        if (checkpoint !== "") {
            this.shareCheckpoint(openJob, task, checkpoint);
        }
        this.options.onChanged(openJob);
    }

    /** A checkpoint of one member applies to the whole gang, and all members must have the same one. */
    shareCheckpoint(openJob: OpenJob, task: string, checkpoint: string): void {
        const parsed = parseTaskName(task);
        const step = parsed === undefined ? undefined : openJob.job.steps[parsed.step];
        if (parsed === undefined || step?.isGang !== true) {
            return;
        }
        for (const key of stepKeys(step, parsed.occurrence, parsed.step)) {
            openJob.update(key, { checkpoint });
        }
    }

    private markTaskDone(openJob: OpenJob, key: string): void {
        const executorId = openJob.task(key).placement?.executorId;
        const tracked = executorId === undefined
            ? undefined
            : this.options.executors.get(executorId)?.runs.get(taskName(openJob.job.jobId, key));
        if (tracked !== undefined) {
            tracked.isTaskDone = true;
        }
    }
}

/** Effect of each kind of end on the task. */
const endHandlers: Readonly<Record<EndKind, (ends: RunEnds, ended: EndedRun) => void>> = {
    done: (ends, ended) => {
        ends.completeTask(ended);
    },
    failed: (ends, ended) => {
        ends.recordFailure(ended);
    },
    stopped: (ends, ended) => {
        ends.clearPlacement(ended);
    },
    lapsed: (ends, ended) => {
        ends.clearPlacement(ended);
    },
    broken: (ends, ended) => {
        ends.clearPlacement(ended);
    },
    alone: (ends, ended) => {
        ends.clearPlacement(ended);
    },
};
