import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { RunList, StartRefusal } from "@persimmonpitch/workload/executorReport.js";
import type { Result } from "true-myth";

/** Which executor an order is for, and under which authority. */
export interface OrderTarget {
    readonly executorId: string;
    /** Fencing token: the epoch of the controller. */
    readonly fence: number;
}

/** An order to run a task. */
export interface StartOrder extends OrderTarget {
    readonly task: string;
    readonly run: number;
    readonly payload: string;
    readonly checkpoint?: string | undefined;
    readonly ticket?: string | undefined;
    /** On the executor's clock: the run is not started later. It extends the lease of everything on the executor. */
    readonly deadlineMs: number;
}

/** An order to end a run; a run that has not arrived yet is refused from then on. */
export interface StopOrder extends OrderTarget {
    readonly task: string;
    readonly run: number;
}

/** A request for the lists of an executor. */
export interface ListRequest extends OrderTarget {
    /** Extends the lease of everything on the executor. */
    readonly deadlineMs?: number | undefined;
    /** Ends up to this number are forgotten by the executor. */
    readonly acknowledgedEnd: number;
    /** How long the answer waits for an end. */
    readonly waitMs: Millis;
}

/** Why an executor did not do what it was asked to. */
export type ExecutorFailure =
    /** It answered that it does not do it, and will not. */
    | { readonly kind: "refused"; readonly reason: StartRefusal; }
    /** Nothing listens at its address: the executor is down and nothing runs there. */
    | { readonly kind: "gone"; }
    /** No answer: it may have been done, or may be done seconds later. */
    | { readonly kind: "unanswered"; readonly detail: string; };

/** An answered order: the executor's clock at the answer. */
export interface Answered {
    readonly clockMs: number;
}

/** Calls to the executor beside an agent. */
export interface ExecutorPort {
    start(order: StartOrder): Promise<Result<Answered, ExecutorFailure>>;
    stop(order: StopOrder): Promise<Result<Answered, ExecutorFailure>>;
    list(request: ListRequest, signal?: AbortSignal): Promise<Result<RunList, ExecutorFailure>>;
}
