import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { Result } from "true-myth";

/** Answer of the advice service for one step. Executors that were asked about but are not listed must not run it. */
export interface Advice {
    readonly allowed: readonly { readonly executorId: string; readonly ticket: string; }[];
    readonly validityMs: Millis;
}

/** Why a request for advice failed. */
export type AdviceFailure =
    /** Too many calls are waiting at the service. */
    | { readonly kind: "busy"; }
    /** No response, or one that cannot be parsed. */
    | { readonly kind: "unavailable"; readonly detail: string; };

/** Client interface of the advice service. */
export interface AdvicePort {
    /** Asks which of the executors may run tasks of the step. */
    ask(
        step: string,
        executorIds: readonly string[],
        signal?: AbortSignal,
    ): Promise<Result<Advice, AdviceFailure>>;
}
