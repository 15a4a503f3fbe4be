import type { ExecutorFailure } from "@persimmonpitch/executor/executorPort.js";
import { Result } from "true-myth";

/** The executor refuses a call. */
export const refusal = <T>(reason: "fence" | "old" | "late" | "room" | "ticket"): Result<T, ExecutorFailure> =>
    Result.err({ kind: "refused", reason });

/** The connection to the executor is refused. */
export const connectionRefused = <T>(): Result<T, ExecutorFailure> =>
    Result.err({ kind: "notSent", detail: "The connection was refused." });

/** A call that may have taken effect was not answered. */
export const unanswered = <T>(detail: string): Result<T, ExecutorFailure> => Result.err({ kind: "unanswered", detail });
