import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { RunList, StartRefusal } from "@persimmonpitch/workload/executorReport.js";
import type { Result } from "true-myth";

/** The executor that a call is for, and the fencing token of the call. */
export interface OrderTarget {
    readonly executorId: string;
    /** Fencing token: the controller's epoch. */
    readonly fencingToken: number;
}

/** An order to start a run of a task. */
export interface StartOrder extends OrderTarget {
    readonly task: string;
    readonly run: number;
    readonly payload: string;
    readonly checkpoint?: string | undefined;
    readonly ticket?: string | undefined;
    /** Latest start, on the executor's clock. It also extends the lease of everything on the executor. */
    readonly deadlineMs: number;
}

/** An order to stop a run. If its start order arrives only later, the executor refuses it. */
export interface StopOrder extends OrderTarget {
    readonly task: string;
    readonly run: number;
}

/** An order to throttle a run to a percentage of its full speed. */
export interface PaceOrder extends OrderTarget {
    readonly task: string;
    readonly run: number;
    /** From 0 to 100; 100 is full speed. */
    readonly percentage: number;
}

/** A request for the runs of an executor at an address that a heartbeat named for it. */
export interface ProbeRequest extends OrderTarget {
    /** Undefined for an executor whose address is fixed. */
    readonly address: string | undefined;
}

/** A request for the running and ended runs of an executor. */
export interface ListRequest extends OrderTarget {
    /** On the executor's clock. Extends the lease of everything on the executor. */
    readonly deadlineMs?: number | undefined;
    /** The executor discards ends up to this number. */
    readonly acknowledgedEnd: number;
    /** How long the executor may defer the answer until a run ends. */
    readonly waitMs: Millis;
}

/** Why a call to an executor failed. */
export type ExecutorFailure =
    /** The executor refused the call, which will not take effect later either. */
    | { readonly kind: "refused"; readonly reason: StartRefusal; }
    /**
     * No connection could be opened, so this call has no effect. That does not show that the executor is down: a
     * partition may refuse connections, too.
     */
    | { readonly kind: "notSent"; readonly detail: string; }
    /** No answer: the call may have taken effect, or may take effect seconds later. */
    | { readonly kind: "unanswered"; readonly detail: string; };

/** An executor's confirmation of an order, with the time on its clock. */
export interface OrderConfirmation {
    readonly clockMs: number;
}

/** Calls from an agent to the executors of its VM. */
export interface ExecutorPort {
    start(order: StartOrder, signal?: AbortSignal): Promise<Result<OrderConfirmation, ExecutorFailure>>;
    stop(order: StopOrder, signal?: AbortSignal): Promise<Result<OrderConfirmation, ExecutorFailure>>;
    pace(order: PaceOrder): Promise<Result<OrderConfirmation, ExecutorFailure>>;
    list(request: ListRequest, signal?: AbortSignal): Promise<Result<RunList, ExecutorFailure>>;
    /** Lists runs at the given address; other calls to the executor go to its present address. */
    probe(request: ProbeRequest, signal?: AbortSignal): Promise<Result<RunList, ExecutorFailure>>;
}
