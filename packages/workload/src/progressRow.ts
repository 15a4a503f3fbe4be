import { z } from "zod";
import type { JobProgress, Placement, TaskProgress } from "./progress.js";
import { outcomeSchema, placementSchema } from "./progress.js";

/** A task in a row: run, place in the list of executors or -1, failures, done or not, checkpoint, last failed run. */
const taskTupleSchema = z.tuple([
    z.number().int().nonnegative(),
    z.number().int(),
    z.number().int().nonnegative(),
    z.union([z.literal(0), z.literal(1)]),
    z.string(),
    z.number().int().nonnegative(),
]);

const tupleOf = (task: TaskProgress, executor: number): z.infer<typeof taskTupleSchema> => [
    task.run,
    executor,
    task.failures,
    task.isDone ? 1 : 0,
    task.checkpoint ?? "",
    task.failedRun ?? 0,
];

const progressOfTuple = (
    [run, executor, failures, done, checkpoint, failedRun]: z.infer<typeof taskTupleSchema>,
    executors: readonly Placement[],
): TaskProgress => ({
    run,
    placement: executors[executor],
    failures,
    isDone: done === 1,
    ...(checkpoint === "" ? {} : { checkpoint }),
    ...(failedRun === 0 ? {} : { failedRun }),
});

/**
 * The row of a job's progress. Every change writes the whole row and every entry receives it, so each executor is
 * named once and a task takes some twenty bytes.
 */
export const progressRowSchema = z.object({
    outcome: outcomeSchema,
    executors: z.array(placementSchema),
    tasks: z.record(z.string(), taskTupleSchema),
}).refine(
    ({ executors, tasks }) =>
        Object.values(tasks).every(([, executor]) => executor >= -1 && executor < executors.length),
    "A task names an executor that the row does not list.",
).transform(({ outcome, executors, tasks }): JobProgress => ({
    outcome,
    tasks: Object.fromEntries(Object.entries(tasks).map(([key, tuple]) => [key, progressOfTuple(tuple, executors)])),
}));

/** The text of the row of a job's progress. */
export const encodeProgress = ({ outcome, tasks }: JobProgress): string => {
    const executors: Placement[] = [];
    const placeOf = (placement: Placement | undefined): number => {
        if (placement === undefined) {
            return -1;
        }
        const known = executors.findIndex(({ executorId, born }) =>
            executorId === placement.executorId && born === placement.born
        );
        return known >= 0 ? known : executors.push(placement) - 1;
    };
    const tuples = Object.entries(tasks).map(([key, task]) => [key, tupleOf(task, placeOf(task.placement))]);
    return JSON.stringify({ outcome, executors, tasks: Object.fromEntries(tuples) as unknown });
};
