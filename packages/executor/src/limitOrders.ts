import { Result } from "true-myth";
import { CallSlots } from "./callSlots.js";
import type { ExecutorFailure, ExecutorPort, OrderConfirmation } from "./executorPort.js";

/** Maximum numbers of orders that are under way to one executor at a time. */
export interface OrderLimits {
    readonly starts: number;
    readonly stops: number;
}

interface ExecutorSlots {
    readonly starts: CallSlots;
    readonly stops: CallSlots;
}

type OrderResult = Result<OrderConfirmation, ExecutorFailure>;

const NEVER_SENT: OrderResult = Result.err({
    kind: "unanswered",
    detail: "The order was given up before it was sent.",
});

/**
 * Limits how many orders are under way to each executor. Orders beyond that wait before their call begins: if they waited
 * for a connection, hundreds of them would time out there, be repeated and time out again, and none would be answered.
 * Stops do not wait behind starts.
 */
export const limitOrders = (port: ExecutorPort, limits: OrderLimits): ExecutorPort => {
    const slotsByExecutor = new Map<string, ExecutorSlots>();
    const slotsOf = (executorId: string): ExecutorSlots => {
        const known = slotsByExecutor.get(executorId);
        if (known !== undefined) {
            return known;
        }
        const slots = { starts: new CallSlots(limits.starts), stops: new CallSlots(limits.stops) };
        slotsByExecutor.set(executorId, slots);
        return slots;
    };
    return {
        start: async (order, signal) =>
            await slotsOf(order.executorId).starts.run(() => port.start(order, signal), signal) ?? NEVER_SENT,
        stop: async (order, signal) =>
            await slotsOf(order.executorId).stops.run(() => port.stop(order, signal), signal) ?? NEVER_SENT,
        pace: order => port.pace(order),
        list: (request, signal) => port.list(request, signal),
        probe: (request, signal) => port.probe(request, signal),
    };
};
