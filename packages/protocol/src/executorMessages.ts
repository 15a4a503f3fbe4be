import { executorInfoSchema, runListSchema, startRefusalSchema } from "@persimmonpitch/workload/executorReport.js";
import * as z from "zod";

const epochSchema = z.number().int().positive();
/** Executor on the agent's VM that a call is for; an old one may still be draining while its successor starts. */
const executorTargetSchema = z.object({ epoch: epochSchema, executorId: z.string() });

const runTargetSchema = executorTargetSchema.extend({ task: z.string(), run: z.number().int().positive() });

/** Reading of the executor's monotonic clock when it answered an order, to compare with the clock of later lists. */
const executorClockMsSchema = z.number();

/** An agent's report on one executor; without `list` the executor has not answered yet. */
export const executorReportSchema = z.object({
    executor: executorInfoSchema,
    /** Runs in progress and unacknowledged ends, as last listed by the executor. */
    list: runListSchema.optional(),
    /** Whether connections to the executor are refused; `list` is then the last one before, which may be outdated. */
    isUnreachable: z.boolean().default(false),
    /** Whether the executor deregistered before connections to it were refused, so that nothing runs there any more. */
    hasLeft: z.boolean().default(false),
});
export type ExecutorReport = z.infer<typeof executorReportSchema>;

/** Methods that an agent serves to the controller. Each carries the controller's epoch; lower epochs are refused. */
export const controllerToAgentMethods = {
    /** Raises the epoch that the agent accepts, and returns a report on each executor made under that epoch. */
    "agent.attach": {
        params: z.object({ epoch: epochSchema }),
        result: z.discriminatedUnion("kind", [
            z.object({ kind: z.literal("attached"), reports: z.array(executorReportSchema) }),
            /** With the highest epoch that the agent has seen. */
            z.object({ kind: z.literal("refused"), epoch: epochSchema }),
        ]),
    },
    /** Extends the lease of all runs on the executor and acknowledges run ends that are durable. */
    "agent.lease": {
        params: executorTargetSchema.extend({
            /** Start time of the executor, which identifies its incarnation. */
            born: z.number(),
            /** End of the lease on the executor's clock. */
            deadlineMs: z.number(),
            /** Number of the last run end that is durable. */
            durableEnd: z.number().int().nonnegative(),
        }),
        result: z.discriminatedUnion("kind", [
            z.object({ kind: z.literal("accepted") }),
            /** `fence`: the epoch is not the current one; `incarnation`: the agent has no such incarnation. */
            z.object({ kind: z.literal("refused"), reason: z.enum(["fence", "incarnation"]) }),
        ]),
    },
    /** Starts a run on an executor. */
    "agent.start": {
        params: runTargetSchema.extend({
            /** Start time of the executor, which identifies its incarnation. */
            born: z.number(),
            payload: z.string(),
            checkpoint: z.string().optional(),
            /** Permission of the advice service to start the step on this executor. */
            ticket: z.string().optional(),
            /**
             * End of the controller lease, on the executor's clock: neither the agent nor the executor starts
             * the run after it. It also extends the lease of all runs on the executor.
             */
            deadlineMs: z.number(),
        }),
        result: z.discriminatedUnion("kind", [
            z.object({ kind: z.literal("started"), clockMs: executorClockMsSchema }),
            /**
             * The run will not start. If an earlier attempt may have started it, it was stopped when the executor's
             * clock read `stoppedClockMs`; only a list read after that shows whether the run exists or how it ended.
             */
            z.object({
                kind: z.literal("refused"),
                reason: startRefusalSchema,
                stoppedClockMs: executorClockMsSchema.optional(),
            }),
            /** A stop order for the run arrived before the executor answered the start. */
            z.object({ kind: z.literal("abandoned") }),
            /** The agent is shutting down; the run may have started or may still start. */
            z.object({ kind: z.literal("unclear") }),
        ]),
    },
    /** Stops a run. */
    "agent.stop": {
        params: runTargetSchema,
        result: z.discriminatedUnion("kind", [
            /** A list read after `clockMs` shows the run as running only if it has not ended yet. */
            z.object({ kind: z.literal("stopped"), clockMs: executorClockMsSchema }),
            z.object({ kind: z.literal("refused"), reason: z.literal("fence") }),
            /** The agent does not know the executor, or is shutting down. */
            z.object({ kind: z.literal("unclear") }),
        ]),
    },
    /** Limits a run to a percentage of its full speed. */
    "agent.pace": {
        params: runTargetSchema.extend({ percentage: z.number().int().min(0).max(100) }),
        result: z.discriminatedUnion("kind", [
            z.object({ kind: z.literal("paced"), clockMs: executorClockMsSchema }),
            z.object({ kind: z.literal("refused"), reason: startRefusalSchema }),
            /** The executor did not answer; the change may still take effect seconds later. */
            z.object({ kind: z.literal("unclear") }),
        ]),
    },
} as const;
export type ControllerToAgentMethods = typeof controllerToAgentMethods;

/** Methods that the controller serves to an agent. */
export const agentToControllerMethods = {
    /** Sends the report on one executor. */
    "agent.report": { params: executorReportSchema, result: z.object({}) },
} as const;
export type AgentToControllerMethods = typeof agentToControllerMethods;
