import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { Result } from "true-myth";
import type { Answered, ExecutorFailure } from "./executorPort.js";

/** An order without an answer is sent again after this time. */
export const ORDER_RETRY_MS: Millis = 400;

/** An answer of the executor to an order, or the knowledge that nothing listens there. */
export type OrderAnswer = Result<Answered, Exclude<ExecutorFailure, { readonly kind: "unanswered"; }>>;

/** How the repeating of an order ended. */
export interface RepeatedOrder {
    /** Undefined when the repeating ended before any try was answered. */
    readonly answer: OrderAnswer | undefined;
    readonly tries: number;
}

/** What is repeated, and for how long. */
export interface RepeatOptions {
    readonly clock: Clock;
    readonly send: () => Promise<Result<Answered, ExecutorFailure>>;
    /** Time left for tries; the repeating ends when it is 0. */
    readonly timeLeft: () => Millis;
    readonly signal: AbortSignal;
    readonly onUnanswered: () => void;
}

/** Sends an order again and again until one try is answered, the time is over or `signal` aborts. */
export const repeatOrder = async (options: RepeatOptions): Promise<RepeatedOrder> => {
    const { clock, send, timeLeft, signal, onUnanswered } = options;
    const answered = new AbortController();
    const end = AbortSignal.any([answered.signal, signal]);
    let answer: OrderAnswer | undefined;
    let tries = 0;
    // A late answer to an earlier try counts too, so a slow executor is not asked for ever.
    const sendOnce = async (): Promise<void> => {
        const outcome = await send();
        if (isAnswer(outcome)) {
            answer ??= outcome;
            answered.abort();
        }
    };
    while (!end.aborted && timeLeft() > 0) {
        if (tries > 0) {
            onUnanswered();
        }
        tries += 1;
        void sendOnce();
        await clock.sleep(Math.min(ORDER_RETRY_MS, timeLeft()), end);
    }
    return { answer, tries };
};

const isAnswer = (outcome: Result<Answered, ExecutorFailure>): outcome is OrderAnswer =>
    outcome.isOk || outcome.error.kind !== "unanswered";
