import * as z from "zod";
import type { JobProgress, Outcome, Placement, SplitProgress, TaskProgress } from "./progress.js";
import { outcomeSchema, placementSchema, splitProgressSchema } from "./progress.js";

/**
 * Progress of a task as it is stored: run, index into the executors of the row or -1, failures, 1 if done, checkpoint
 * or "", last failed run or 0.
 */
const taskTupleSchema = z.tuple([
    z.number().int().nonnegative(),
    z.number().int(),
    z.number().int().nonnegative(),
    z.union([z.literal(0), z.literal(1)]),
    z.string(),
    z.number().int().nonnegative(),
]);

const encodeTask = (task: TaskProgress, executorIndex: number): z.infer<typeof taskTupleSchema> => [
    task.run,
    executorIndex,
    task.failures,
    task.isDone ? 1 : 0,
    task.checkpoint ?? "",
    task.failedRun ?? 0,
];

const decodeTask = (
    [run, executorIndex, failures, done, checkpoint, failedRun]: z.infer<typeof taskTupleSchema>,
    executors: readonly Placement[],
): TaskProgress => ({
    run,
    placement: executors[executorIndex],
    failures,
    isDone: done === 1,
    ...(checkpoint === "" ? {} : { checkpoint }),
    ...(failedRun === 0 ? {} : { failedRun }),
});

const tasksShape = { executors: z.array(placementSchema), tasks: z.record(z.string(), taskTupleSchema) };
const storedTasksSchema = z.object(tasksShape);
type StoredTasks = z.infer<typeof storedTasksSchema>;

const namesListedExecutors = ({ executors, tasks }: StoredTasks): boolean =>
    Object.values(tasks).every(([, executorIndex]) => executorIndex >= -1 && executorIndex < executors.length);

const UNLISTED_EXECUTOR = "A task names an executor that the row does not list.";

const decodeTasks = ({ executors, tasks }: StoredTasks): Readonly<Record<string, TaskProgress>> =>
    Object.fromEntries(Object.entries(tasks).map(([key, tuple]) => [key, decodeTask(tuple, executors)]));

/** Stored form of the progress of some tasks of a large job. */
export const taskRowSchema = storedTasksSchema.refine(namesListedExecutors, UNLISTED_EXECUTOR).transform(decodeTasks);

/** Stored form of the progress of a job with few tasks. */
const wholeProgressSchema = z.object({ outcome: outcomeSchema, ...tasksShape })
    .refine(namesListedExecutors, UNLISTED_EXECUTOR)
    .transform((row): JobProgress => ({ outcome: row.outcome, tasks: decodeTasks(row) }));

/**
 * Stored form of the outcome of a large job. It has no `tasks`, so that a release that expects all of them in this row
 * finds it unreadable and does not start the job again.
 */
const splitHeadSchema = z.object({ outcome: outcomeSchema, split: splitProgressSchema })
    .transform(({ outcome, split }): JobProgress => ({ outcome, tasks: {}, split }));

/**
 * Stored form of the progress of a job. Every change writes a whole row and sends it to every entry process, so rows are
 * compact: a row contains each executor once, and a task takes about twenty bytes.
 */
export const progressRowSchema = z.union([wholeProgressSchema, splitHeadSchema]);

/** Encodes the outcome of a large job, whose tasks are stored in rows of their own. */
export const encodeSplitHead = (outcome: Outcome, split: SplitProgress): string => JSON.stringify({ outcome, split });

/** Encodes the progress of a job as a row that `progressRowSchema` parses. */
export const encodeProgress = ({ outcome, tasks }: JobProgress): string =>
    JSON.stringify({ outcome, ...toStoredTasks(tasks) });

/** Encodes the progress of tasks as a row that `taskRowSchema` parses. */
export const encodeTasks = (tasks: JobProgress["tasks"]): string => JSON.stringify(toStoredTasks(tasks));

const toStoredTasks = (tasks: JobProgress["tasks"]): StoredTasks => {
    const executors: Placement[] = [];
    const executorIndexOf = (placement: Placement | undefined): number => {
        if (placement === undefined) {
            return -1;
        }
        const knownIndex = executors.findIndex(({ executorId, born }) =>
            executorId === placement.executorId && born === placement.born
        );
        return knownIndex >= 0 ? knownIndex : executors.push(placement) - 1;
    };
    const tuples = Object.entries(tasks).map(([key, task]) => [key, encodeTask(task, executorIndexOf(task.placement))]);
    return { executors, tasks: Object.fromEntries(tuples) as StoredTasks["tasks"] };
};
