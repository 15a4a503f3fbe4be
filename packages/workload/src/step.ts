import * as z from "zod";

/** Maximum number of tasks of a step. */
export const MAX_TASKS_PER_STEP = 1_000;

/** Resources that one task of a step needs on its executor. */
export const demandSchema = z.object({
    milliCores: z.number().int().nonnegative().default(0),
    memoryMb: z.number().int().nonnegative().default(0),
    accelerators: z.number().int().nonnegative().default(0),
});
export type Demand = z.infer<typeof demandSchema>;

/** A set of identical tasks of a job. */
export const stepSchema = z.object({
    count: z.number().int().min(1).max(MAX_TASKS_PER_STEP),
    demand: demandSchema,
    /** Duration of one task as the requester estimates it; the estimate may be wrong by a factor of several. */
    declaredMs: z.number().nonnegative().default(0),
    /** Indexes of the steps whose tasks must all be done before this step starts. */
    after: z.array(z.number().int().nonnegative()).default([]),
    /** The tasks start together, and the end of one ends them all. */
    isGang: z.boolean().default(false),
    /** The tasks run slower when they are spread over more than one rack. */
    isTight: z.boolean().default(false),
    /** Rack that stores the input data of the tasks; they run slower on other racks. */
    dataRack: z.string().optional(),
    /** Label that an executor must have to run the tasks. */
    requiredLabel: z.string().optional(),
    /** Maximum number of tasks of one occurrence of the step on one executor. */
    maxPerExecutor: z.number().int().positive().optional(),
    /** Several copies of a task may run at the same time; the first one to end counts. */
    isSpeculative: z.boolean().default(false),
    hasCheckpoints: z.boolean().default(false),
    /** The tasks run until the job is cancelled. */
    isLongRunning: z.boolean().default(false),
    /** Image of the tasks; tasks of the same image behave alike. */
    image: z.string().optional(),
    /** Upper bound of the tail latency that a long-running task is to offer to its own users. */
    targetMs: z.number().nonnegative().optional(),
    /** The millicores of the tasks do not count against the capacity of an executor. */
    usesIdleCores: z.boolean().default(false),
    /** Maximum number of tasks of a long-running step that the system may make unavailable at the same time. */
    mayMiss: z.number().int().nonnegative().optional(),
});
export type Step = z.infer<typeof stepSchema>;
