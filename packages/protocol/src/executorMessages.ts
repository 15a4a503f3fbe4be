import { executorInfoSchema, runListSchema, startRefusalSchema } from "@persimmonpitch/workload/executorReport.js";
import { z } from "zod";

const epochSchema = z.number().int().positive();
/** Which executor of the agent's VM a call is for; an old one may drain there while its successor starts. */
const targetSchema = z.object({ epoch: epochSchema, executorId: z.string() });

const runSchema = targetSchema.extend({ task: z.string(), run: z.number().int().positive() });

/** The executor's steady clock when it answered an order, to compare with the clock of later lists. */
const clockSchema = z.number();

/** What an agent says of one executor; without `list` the executor has not answered yet. */
export const executorReportSchema = z.object({
    executor: executorInfoSchema,
    list: runListSchema.optional(),
    /** Whether nothing listens at the executor's address, so nothing runs there. */
    isGone: z.boolean().default(false),
});
export type ExecutorReport = z.infer<typeof executorReportSchema>;

/** Methods that an agent serves to the controller. Each carries the epoch of the role; a lower one is refused. */
export const controllerToAgentMethods = {
    /** Raises the epoch that the agent accepts, and returns what each executor lists under it. */
    "agent.attach": {
        params: z.object({ epoch: epochSchema }),
        result: z.discriminatedUnion("kind", [
            z.object({ kind: z.literal("attached"), reports: z.array(executorReportSchema) }),
            /** The highest epoch that the agent has seen. */
            z.object({ kind: z.literal("refused"), epoch: epochSchema }),
        ]),
    },
    /** Extends the lease of everything on the executor and acknowledges ends that are durable. */
    "agent.lease": {
        params: targetSchema.extend({
            born: z.number(),
            /** On the executor's clock. */
            deadlineMs: z.number(),
            durableEnd: z.number().int().nonnegative(),
        }),
        result: z.discriminatedUnion("kind", [
            z.object({ kind: z.literal("accepted") }),
            z.object({ kind: z.literal("refused"), reason: z.enum(["fence", "incarnation"]) }),
        ]),
    },
    "agent.start": {
        params: runSchema.extend({
            born: z.number(),
            payload: z.string(),
            checkpoint: z.string().optional(),
            ticket: z.string().optional(),
            /**
             * End of the authority behind the order, on the executor's clock: neither the agent nor the executor
             * starts the run later. It also extends the lease of everything on the executor.
             */
            deadlineMs: z.number(),
        }),
        result: z.discriminatedUnion("kind", [
            z.object({ kind: z.literal("started"), clockMs: clockSchema }),
            /**
             * The run will not start. If an earlier try may have started it, it was stopped when the executor's clock
             * showed `stoppedClockMs`; only a list that is read later says whether it is there or how it ended.
             */
            z.object({
                kind: z.literal("refused"),
                reason: startRefusalSchema,
                stoppedClockMs: clockSchema.optional(),
            }),
            /** The run was ordered to stop before the start was answered. */
            z.object({ kind: z.literal("abandoned") }),
            /** The agent stops; the run may be there or may appear. */
            z.object({ kind: z.literal("unclear") }),
        ]),
    },
    "agent.stop": {
        params: runSchema,
        result: z.discriminatedUnion("kind", [
            /** A list that is read later shows the run only if it has not ended yet. */
            z.object({ kind: z.literal("stopped"), clockMs: clockSchema }),
            z.object({ kind: z.literal("refused"), reason: z.literal("fence") }),
            /** Nothing listens at the executor's address, so nothing runs there. */
            z.object({ kind: z.literal("gone") }),
            /** The agent does not know the executor, or stops. */
            z.object({ kind: z.literal("unclear") }),
        ]),
    },
} as const;
export type ControllerToAgentMethods = typeof controllerToAgentMethods;

/** Methods that the controller serves to an agent. */
export const agentToControllerMethods = {
    /** One executor's report. */
    "agent.report": { params: executorReportSchema, result: z.object({}) },
} as const;
export type AgentToControllerMethods = typeof agentToControllerMethods;
