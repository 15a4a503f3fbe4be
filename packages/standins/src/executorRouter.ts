import type { ExecutorFailure, ExecutorPort } from "@persimmonpitch/executor/executorPort.js";
import type { Result } from "true-myth";
import { connectionRefused } from "./executorFailures.js";
import type { MemoryStepExecutor } from "./memoryStepExecutor.js";

/** A port that passes each call to the executor that it names; nothing listens for other names. */
export const routeToExecutors = (executors: readonly MemoryStepExecutor[]): ExecutorPort => {
    const find = (executorId: string) => executors.find(executor => executor.executorId === executorId);
    return {
        start: (order, signal) => find(order.executorId)?.start(order, signal) ?? refuse(),
        stop: (order, signal) => find(order.executorId)?.stop(order, signal) ?? refuse(),
        pace: order => find(order.executorId)?.pace(order) ?? refuse(),
        list: (request, signal) => find(request.executorId)?.list(request, signal) ?? refuse(),
    };
};

const refuse = <T>(): Promise<Result<T, ExecutorFailure>> => Promise.resolve(connectionRefused());
