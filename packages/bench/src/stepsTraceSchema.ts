import { queueSchema, teamSchema } from "@persimmonpitch/workload/clusterConfig.js";
import { demandSchema } from "@persimmonpitch/workload/step.js";
import { stepJobSchema } from "@persimmonpitch/workload/stepJob.js";
import { timingsSchema } from "@persimmonpitch/workload/timings.js";
import * as z from "zod";
import { stepsDeploymentSchema } from "./stepsProfile.js";

/** A day without faults, or one on which all executors lose what runs. */
export const dayKindSchema = z.enum(["busy", "fault"]);
export type DayKind = z.infer<typeof dayKindSchema>;

/** A job with what only the fake executors know. */
export const dayJobSchema = z.object({
    job: stepJobSchema,
    /** Time of a task of each step on a healthy executor. */
    trueMs: z.array(z.number().positive()),
    cancelAt: z.number().optional(),
});
export type DayJob = z.infer<typeof dayJobSchema>;

export const dayExecutorSchema = z.object({
    vm: z.string(),
    rack: z.string(),
    labels: z.array(z.string()),
    rate: z.number().positive(),
    capacity: demandSchema,
});
export type DayExecutor = z.infer<typeof dayExecutorSchema>;

/** Everything that one replay needs. */
export const daySchema = z.object({
    deployment: stepsDeploymentSchema,
    seed: z.number(),
    timings: timingsSchema,
    queues: z.array(queueSchema),
    teams: z.array(teamSchema),
    executors: z.array(dayExecutorSchema),
    jobs: z.array(dayJobSchema),
    /** When all executors lose what runs. */
    faultAt: z.number().optional(),
});
export type Day = z.infer<typeof daySchema>;
