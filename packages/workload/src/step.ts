import { z } from "zod";

const MAX_TASKS_PER_STEP = 1_000;

/** What one task of a step needs on its executor. */
export const demandSchema = z.object({
    milliCores: z.number().int().nonnegative().default(0),
    memoryMb: z.number().int().nonnegative().default(0),
    accelerators: z.number().int().nonnegative().default(0),
});
export type Demand = z.infer<typeof demandSchema>;

/** A set of equal tasks of a job. */
export const stepSchema = z.object({
    count: z.number().int().min(1).max(MAX_TASKS_PER_STEP),
    demand: demandSchema,
    /** Duration of one task as the requester guesses it; it may be off by a factor of several. */
    declaredMs: z.number().nonnegative().default(0),
    /** Numbers of the steps whose tasks must all be done first. */
    after: z.array(z.number().int().nonnegative()).default([]),
    /** The tasks run only together: they start together, and one end stands for all. */
    isGang: z.boolean().default(false),
    /** The tasks run slower when they are spread over more than one rack. */
    isTight: z.boolean().default(false),
    /** Rack with the data of the tasks; they run slower elsewhere. */
    dataRack: z.string().optional(),
    requiredLabel: z.string().optional(),
    /** Most tasks of one occurrence of the step on one executor. */
    maxPerExecutor: z.number().int().positive().optional(),
    /** Copies of a task may run side by side; the first end counts. */
    isSpeculative: z.boolean().default(false),
    hasCheckpoints: z.boolean().default(false),
    /** The tasks run until the job is cancelled. */
    isLongRunning: z.boolean().default(false),
    /** Tasks of the same image behave alike. */
    image: z.string().optional(),
    /** Bound of the tail latency that a long-running task offers to its own users. */
    targetMs: z.number().nonnegative().optional(),
    /** The millicores of the tasks do not count against the capacity of an executor. */
    usesIdleCores: z.boolean().default(false),
    /** Tasks of a long-running step that the system may make unavailable at one time. */
    mayMiss: z.number().int().nonnegative().optional(),
});
export type Step = z.infer<typeof stepSchema>;
