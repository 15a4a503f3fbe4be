import * as z from "zod";
import type { JobProgress, Placement, TaskProgress } from "./progress.js";
import { outcomeSchema, placementSchema } from "./progress.js";

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

/**
 * Stored form of the progress of a job. Every change writes the whole row and sends it to every entry process, so the
 * row is compact: it contains each executor once, and a task takes about twenty bytes.
 */
export const progressRowSchema = z.object({
    outcome: outcomeSchema,
    executors: z.array(placementSchema),
    tasks: z.record(z.string(), taskTupleSchema),
}).refine(
    ({ executors, tasks }) =>
        Object.values(tasks).every(([, executorIndex]) => executorIndex >= -1 && executorIndex < executors.length),
    "A task names an executor that the row does not list.",
).transform(({ outcome, executors, tasks }): JobProgress => ({
    outcome,
    tasks: Object.fromEntries(Object.entries(tasks).map(([key, tuple]) => [key, decodeTask(tuple, executors)])),
}));

/** Encodes the progress of a job as a row that `progressRowSchema` parses. */
export const encodeProgress = ({ outcome, tasks }: JobProgress): string => {
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
    return JSON.stringify({ outcome, executors, tasks: Object.fromEntries(tuples) as unknown });
};
