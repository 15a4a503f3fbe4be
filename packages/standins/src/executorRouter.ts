import type { ExecutorPort } from "@persimmonpitch/executor/executorPort.js";
import { Result } from "true-myth";
import type { MemoryStepExecutor } from "./memoryStepExecutor.js";

/** A port that passes each call to the executor that it names; nothing listens for other names. */
export const routeToExecutors = (executors: readonly MemoryStepExecutor[]): ExecutorPort => {
    const find = (executorId: string) => executors.find(executor => executor.executorId === executorId);
    return {
        start: (order, signal) => find(order.executorId)?.start(order, signal) ?? GONE,
        stop: (order, signal) => find(order.executorId)?.stop(order, signal) ?? GONE,
        pace: order => find(order.executorId)?.pace(order) ?? GONE,
        list: (request, signal) => find(request.executorId)?.list(request, signal) ?? GONE,
    };
};

const GONE = Promise.resolve(Result.err<never, { readonly kind: "gone"; }>({ kind: "gone" }));
