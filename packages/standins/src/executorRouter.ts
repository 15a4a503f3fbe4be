import type {
    ExecutorFailure,
    ExecutorPort,
    OrderTarget,
    ProbeRequest,
} from "@persimmonpitch/executor/executorPort.js";
import type { Result } from "true-myth";
import { connectionRefused } from "./executorFailures.js";
import type { MemoryStepExecutor } from "./memoryStepExecutor.js";

export interface ExecutorRouterOptions {
    /** Whether a call is directed to the address of the executor that it names. */
    readonly isReached?: (target: OrderTarget | ProbeRequest) => boolean;
}

/** A port that passes each call to the executor that it names; nothing listens for other names. */
export const routeToExecutors = (
    executors: readonly MemoryStepExecutor[],
    { isReached = () => true }: ExecutorRouterOptions = {},
): ExecutorPort => {
    const find = (target: OrderTarget | ProbeRequest) =>
        isReached(target) ? executors.find(({ executorId }) => executorId === target.executorId) : undefined;
    return {
        start: (order, signal) => find(order)?.start(order, signal) ?? refuse(),
        stop: (order, signal) => find(order)?.stop(order, signal) ?? refuse(),
        pace: order => find(order)?.pace(order) ?? refuse(),
        list: (request, signal) => find(request)?.list(request, signal) ?? refuse(),
        probe: (request, signal) => find(request)?.probe(request, signal) ?? refuse(),
    };
};

const refuse = <T>(): Promise<Result<T, ExecutorFailure>> => Promise.resolve(connectionRefused());
