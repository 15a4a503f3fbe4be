import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { Result } from "true-myth";

/** What the advice service says about a step; the executors that were asked about and are not named may not run it. */
export interface Advice {
    readonly allowed: readonly { readonly executorId: string; readonly ticket: string; }[];
    readonly validityMs: Millis;
}

/** Why there is no advice. */
export type AdviceFailure =
    /** Too many calls wait. */
    | { readonly kind: "busy"; }
    /** No answer, or none that can be read. */
    | { readonly kind: "unavailable"; readonly detail: string; };

/** Calls to the advice service. */
export interface AdvicePort {
    /** Asks which of the executors may run tasks of the step. */
    ask(
        step: string,
        executorIds: readonly string[],
        signal?: AbortSignal,
    ): Promise<Result<Advice, AdviceFailure>>;
}
