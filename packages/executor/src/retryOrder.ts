import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { withAnySignal } from "@persimmonpitch/clock/withAnySignal.js";
import type { Result } from "true-myth";
import type { ExecutorFailure, OrderConfirmation } from "./executorPort.js";

/** Interval between attempts to send an order that has not been answered. */
export const ORDER_RETRY_INTERVAL_MS: Millis = 400;

/** A definite result of an order: the executor's confirmation or refusal, or that nothing listens at its address. */
export type OrderResponse = Result<OrderConfirmation, Exclude<ExecutorFailure, { readonly kind: "unanswered"; }>>;

/** The result of sending an order with retries. */
export interface OrderOutcome {
    /** Undefined if the retries ended before any attempt was answered. */
    readonly response: OrderResponse | undefined;
    readonly attempts: number;
}

export interface RetryOptions {
    readonly clock: Clock;
    /** Sends the order once; `signal` aborts when the retries end, so that no attempt is under way afterwards. */
    readonly send: (signal: AbortSignal) => Promise<Result<OrderConfirmation, ExecutorFailure>>;
    /** Time left for further attempts; the retries end once it is 0 or less. */
    readonly timeLeft: () => Millis;
    readonly signals: readonly AbortSignal[];
    readonly onUnanswered: () => void;
}

/** Sends an order repeatedly until an attempt is answered, no time is left or one of `signals` aborts. */
export const retryOrder = async (options: RetryOptions): Promise<OrderOutcome> => {
    const { clock, send, timeLeft, signals, onUnanswered } = options;
    const answeredAbort = new AbortController();
    let response: OrderResponse | undefined;
    let attempts = 0;
    // A late response to an earlier attempt counts too; otherwise the retries to a slow executor would never end.
    const sendAttempt = async (endSignal: AbortSignal): Promise<void> => {
        const result = await send(endSignal);
        if (isResponse(result)) {
            response ??= result;
            answeredAbort.abort();
        }
    };
    await withAnySignal([answeredAbort.signal, ...signals], async endSignal => {
        while (!endSignal.aborted && timeLeft() > 0) {
            if (attempts > 0) {
                onUnanswered();
            }
            attempts += 1;
            void sendAttempt(endSignal);
            await clock.sleep(Math.min(ORDER_RETRY_INTERVAL_MS, timeLeft()), endSignal);
        }
    });
    return { response, attempts };
};

const isResponse = (result: Result<OrderConfirmation, ExecutorFailure>): result is OrderResponse =>
    result.isOk || result.error.kind !== "unanswered";
