import { executorInfoSchema, runListSchema, startRefusalSchema } from "@persimmonpitch/workload/executorReport.js";
import { z } from "zod";

const epochSchema = z.number().int().nonnegative();
const runSchema = z.object({ epoch: epochSchema, task: z.string(), run: z.number().int().positive() });

/** What an agent says of its executor; without `list` the executor has not answered yet. */
export const executorReportSchema = z.object({
    executor: executorInfoSchema.optional(),
    list: runListSchema.optional(),
    /** Whether nothing listens at the executor's address, so nothing runs there. */
    isGone: z.boolean().default(false),
});
export type ExecutorReport = z.infer<typeof executorReportSchema>;

/** Methods that an agent serves to the controller. Each carries the epoch of the role; a lower one is refused. */
export const controllerToAgentMethods = {
    /** Raises the epoch that the agent accepts, and returns what the executor lists under it. */
    "agent.attach": {
        params: z.object({ epoch: epochSchema }),
        result: z.discriminatedUnion("kind", [
            z.object({ kind: z.literal("attached"), report: executorReportSchema }),
            z.object({ kind: z.literal("refused"), epoch: epochSchema }),
        ]),
    },
    /** Extends the lease of everything on the executor and acknowledges ends that are durable. */
    "agent.lease": {
        params: z.object({
            epoch: epochSchema,
            born: z.number(),
            /** On the executor's clock. */
            deadlineMs: z.number(),
            durableEnd: z.number().int().nonnegative(),
        }),
        result: z.object({}),
    },
    "agent.start": {
        params: runSchema.extend({
            executorId: z.string(),
            born: z.number(),
            payload: z.string(),
            checkpoint: z.string().optional(),
            ticket: z.string().optional(),
            deadlineMs: z.number(),
        }),
        result: z.discriminatedUnion("kind", [
            z.object({ kind: z.literal("started") }),
            z.object({ kind: z.literal("refused"), reason: startRefusalSchema }),
            /** The run was ordered to stop before the start was answered. */
            z.object({ kind: z.literal("abandoned") }),
        ]),
    },
    "agent.stop": {
        params: runSchema,
        result: z.discriminatedUnion("kind", [
            /** A list that is read later shows the run only if it has not ended yet. */
            z.object({ kind: z.literal("stopped") }),
            z.object({ kind: z.literal("unclear") }),
        ]),
    },
} as const;
export type ControllerToAgentMethods = typeof controllerToAgentMethods;

/** Methods that the controller serves to an agent. */
export const agentToControllerMethods = {
    "agent.report": { params: executorReportSchema, result: z.object({}) },
} as const;
export type AgentToControllerMethods = typeof agentToControllerMethods;
