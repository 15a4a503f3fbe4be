import type { Millis } from "@persimmonpitch/clock/clock.js";
import { NO_TASK_PROGRESS, type TaskProgress } from "@persimmonpitch/workload/progress.js";
import type { Step } from "@persimmonpitch/workload/step.js";
import { stepKeys } from "@persimmonpitch/workload/stepKeys.js";
import type { JobView } from "./dispatchView.js";

/** An occurrence of the steps of an open job that is due and not done. A job without repetition has one occurrence. */
export interface OpenOccurrence {
    readonly view: JobView;
    readonly occurrence: number;
    /** Start of its deadlines: the acceptance of the job, or the due time of the repetition. */
    readonly startAt: Millis;
    /** Whether all tasks of each step are done. */
    readonly doneSteps: readonly boolean[];
}

/** Progress of the task with the given key. */
export const progressOf = ({ progress }: JobView, key: string): TaskProgress => progress.tasks[key] ?? NO_TASK_PROGRESS;

/** Whether all tasks of a step are done. The members of a gang are done together, so one of them is enough. */
const isStepDone = (view: JobView, occurrence: number, stepIndex: number, step: Step): boolean => {
    const isTaskDone = (key: string): boolean => progressOf(view, key).isDone;
    const keys = stepKeys(step, occurrence, stepIndex);
    return step.isGang ? keys.some(isTaskDone) : keys.every(isTaskDone);
};

const occurrenceOf = (view: JobView, occurrence: number, startAt: Millis): OpenOccurrence => ({
    view,
    occurrence,
    startAt,
    doneSteps: view.job.steps.map((step, index) => isStepDone(view, occurrence, index, step)),
});

/**
 * Maximum number of occurrences of one job with tasks to place that a pass considers, the earliest first; bounds the
 * duration of a pass. Occurrences that only run do not count, or the next one would wait for them beside free room.
 */
const MAX_WAITING_OCCURRENCES = 100;

const isOpen = ({ doneSteps }: OpenOccurrence): boolean => doneSteps.includes(false);

/** Whether a task is neither placed nor done. */
const hasTaskToPlace = ({ view, occurrence, doneSteps }: OpenOccurrence): boolean =>
    view.job.steps.some((step, index) =>
        doneSteps[index] === false && stepKeys(step, occurrence, index).some(key => {
            const { placement, isDone } = progressOf(view, key);
            return placement === undefined && !isDone;
        })
    );

/**
 * The occurrences of a job that are due and not done. Due times are on the wall clock and are converted to the clock of
 * `now`.
 */
const openOccurrencesOf = (view: JobView, now: Millis, wallTime: Millis): readonly OpenOccurrence[] => {
    const { acceptedAt, repetition } = view.job;
    if (repetition === undefined) {
        return [occurrenceOf(view, 0, acceptedAt)].filter(isOpen);
    }
    const { count, firstDueAt, intervalMs } = repetition;
    const open: OpenOccurrence[] = [];
    let waiting = 0;
    for (let occurrence = 0; occurrence < count && waiting < MAX_WAITING_OCCURRENCES; occurrence += 1) {
        const dueAt = firstDueAt + occurrence * intervalMs;
        if (dueAt > wallTime) {
            break;
        }
        const due = occurrenceOf(view, occurrence, now - (wallTime - dueAt));
        if (isOpen(due)) {
            open.push(due);
            waiting += Number(hasTaskToPlace(due));
        }
    }
    return open;
};

/** The occurrences of open jobs that are due and not done. */
export const openOccurrences = (
    jobs: readonly JobView[],
    now: Millis,
    wallTime: Millis,
): readonly OpenOccurrence[] =>
    jobs
        .filter(({ progress }) => progress.outcome === "open")
        .flatMap(view => openOccurrencesOf(view, now, wallTime));
