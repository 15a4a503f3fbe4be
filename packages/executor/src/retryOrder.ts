import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { withAnySignal } from "@persimmonpitch/clock/withAnySignal.js";
import type { Result } from "true-myth";
import type { ExecutorFailure, OrderConfirmation } from "./executorPort.js";

/** Interval between attempts to send an order that has not been answered. */
export const ORDER_RETRY_INTERVAL_MS: Millis = 400;

/** A definite result of an order: the executor's confirmation or refusal. */
export type OrderResponse = Result<OrderConfirmation, Extract<ExecutorFailure, { readonly kind: "refused"; }>>;

/** The result of sending an order with retries. */
export interface OrderOutcome {
    /** Undefined if the retries ended before any attempt was answered. */
    readonly response: OrderResponse | undefined;
    /** Number of attempts that may have taken effect, or may still do so, without an answer. */
    readonly unansweredAttempts: number;
}

export interface RetryOptions {
    readonly clock: Clock;
    /** Sends the order once; `signal` aborts when the retries end, so that no attempt is under way afterwards. */
    readonly send: (signal: AbortSignal) => Promise<Result<OrderConfirmation, ExecutorFailure>>;
    /** Time left for further attempts; the retries end once it is 0 or less. */
    readonly timeLeft: () => Millis;
    readonly signals: readonly AbortSignal[];
    readonly onUnanswered: () => void;
    /** Whether to end the retries as soon as an attempt could not be sent and no other one may have taken effect. */
    readonly endsIfNotSent: boolean;
}

/** Sends an order repeatedly until an attempt is answered, no time is left or one of `signals` aborts. */
export const retryOrder = async (options: RetryOptions): Promise<OrderOutcome> => {
    const { clock, send, timeLeft, signals, onUnanswered, endsIfNotSent } = options;
    const endAbort = new AbortController();
    let response: OrderResponse | undefined;
    let unansweredAttempts = 0;
    // A late response to an earlier attempt counts too; otherwise the retries to a slow executor would never end.
    const sendAttempt = async (endSignal: AbortSignal): Promise<void> => {
        unansweredAttempts += 1;
        const result = await send(endSignal);
        if (isResponse(result)) {
            unansweredAttempts -= 1;
            response ??= result;
            endAbort.abort();
        }
        else if (result.isErr && result.error.kind === "notSent") {
            unansweredAttempts -= 1;
            if (endsIfNotSent && unansweredAttempts === 0) {
                endAbort.abort();
            }
        }
    };
    await withAnySignal([endAbort.signal, ...signals], async endSignal => {
        let isFirstAttempt = true;
        while (!endSignal.aborted && timeLeft() > 0) {
            if (!isFirstAttempt) {
                onUnanswered();
            }
            isFirstAttempt = false;
            void sendAttempt(endSignal);
            await clock.sleep(Math.min(ORDER_RETRY_INTERVAL_MS, timeLeft()), endSignal);
        }
    });
    return { response, unansweredAttempts };
};

const isResponse = (result: Result<OrderConfirmation, ExecutorFailure>): result is OrderResponse =>
    result.isOk || result.error.kind === "refused";
