import { demandSchema } from "@persimmonpitch/workload/step.js";
import { parseTaskName } from "@persimmonpitch/workload/taskName.js";
import * as z from "zod";
import { parseJson } from "./parseJson.js";

/** What a run does on the in-memory executor. */
export const stepWorkSchema = z.object({
    runMs: z.number().nonnegative().default(1_000),
    /** The run goes on until it is stopped or its lease lapses. */
    isLongRunning: z.boolean().default(false),
    /** The run fails when its work is done. */
    fails: z.boolean().default(false),
    hasCheckpoints: z.boolean().default(false),
    demand: demandSchema.default({ milliCores: 0, memoryMb: 0, accelerators: 0 }),
    /** Members of the gang that the run belongs to; 1 is no gang. */
    gangSize: z.number().int().positive().default(1),
    load: z.number().optional(),
    /** The run serves users: its load is their tail latency, to which the runs beside it add. */
    servesUsers: z.boolean().default(false),
    /** What the run adds to the latency of each serving task beside it while it works at full speed. */
    disturbanceMs: z.number().nonnegative().default(0),
});
export type StepWork = z.infer<typeof stepWorkSchema>;

/** The work that a payload describes; any other text is work with the defaults. */
export const parseStepWork = (payload: string): StepWork =>
    parseJson(stepWorkSchema, payload) ?? stepWorkSchema.parse({});

/** Key of the gang of a run: the members are the tasks of one step that share a run number. */
export const gangKey = (task: string, run: number): string => {
    const place = parseTaskName(task);
    return place === undefined ? `${task}#${run}` : `${place.jobId}.${place.occurrence}.${place.step}#${run}`;
};

const checkpointSchema = z.object({ workMs: z.number().nonnegative() });

/** Text of a checkpoint after that much work. */
export const writeCheckpoint = (workMs: number): string => JSON.stringify({ workMs });

/** Work that a checkpoint holds; none for an absent or foreign text. */
export const readCheckpoint = (checkpoint: string | undefined): number =>
    parseJson(checkpointSchema, checkpoint ?? "")?.workMs ?? 0;
