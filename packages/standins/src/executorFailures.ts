import type { ExecutorFailure } from "@persimmonpitch/executor/executorPort.js";
import { Result } from "true-myth";

/** The executor refuses a call. */
export const refusal = <T>(reason: "fence" | "old" | "late" | "room" | "ticket"): Result<T, ExecutorFailure> =>
    Result.err({ kind: "refused", reason });

/** Nobody listens at the address of the executor. */
export const gone = <T>(): Result<T, ExecutorFailure> => Result.err({ kind: "gone" });

/** A call that may have taken effect was not answered. */
export const unanswered = <T>(detail: string): Result<T, ExecutorFailure> => Result.err({ kind: "unanswered", detail });
