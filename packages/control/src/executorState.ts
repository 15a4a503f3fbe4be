import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { EndView } from "@persimmonpitch/dispatch/dispatchView.js";
import type { ExecutorInfo } from "@persimmonpitch/workload/executorReport.js";
import type { RunList } from "@persimmonpitch/workload/executorReport.js";
import type { Demand } from "@persimmonpitch/workload/step.js";

/** A run from its claim to its end, as tracked by the controller. */
export interface TrackedRun {
    readonly jobId: string;
    readonly key: string;
    readonly task: string;
    readonly run: number;
    readonly executorId: string;
    /** Incarnation of the executor that the run was ordered on, or that has listed it since. */
    born: number;
    readonly demand: Demand;
    /** Uses only millicores that other runs leave idle. */
    readonly isBackground: boolean;
    /** Upper bound on the tail latency of a user-facing task. */
    readonly servingTargetMs: Millis | undefined;
    /** Time on the controller's clock. */
    readonly orderedAt: Millis;
    /** The claim was written by an earlier controller, so this one has no order in flight. */
    readonly isInherited: boolean;
    /** The executor has restarted since the order, which may have reached the new incarnation as well. */
    readonly isCarriedOver: boolean;
    /** Number of start orders sent by this controller whose result is not known. */
    unansweredStarts: number;
    /** Time of the last start order. */
    startSentAt?: Millis;
    /** The claim is durable, so the order may be sent. */
    isClaimDurable: boolean;
    /** Executor clock when it answered the start or the stop. */
    startAnswerClockMs?: number;
    stopAnswerClockMs?: number;
    /** The start is deferred until the term is renewed. */
    isAwaitingRenewal: boolean;
    isStopping: boolean;
    isStopSent: boolean;
    /** The task is done, but the executor still lists the run. */
    isTaskDone: boolean;
    percent?: number;
    firstPercent?: number;
    firstListedAt?: Millis;
    progressAt?: Millis;
    measurement?: Measurement;
}

/** Rough measurement over the 500 ms before the list that contains it. */
export interface Measurement {
    /** Tail latency in milliseconds for a user-facing task, otherwise millicores in use. */
    readonly load: number;
    /** Executor clock in the list. */
    readonly clockMs: number;
    /** Arrival time of the list. */
    readonly at: Millis;
}

/** A run that an executor lists without a claim. It is stopped and counts against capacity until it is gone. */
export interface UnclaimedRun {
    readonly task: string;
    readonly run: number;
    readonly demand: Demand;
}

/** Number of run ends kept to assess the health of an executor. */
const MAX_RECENT_ENDS = 20;

/**
 * An agent repeats its last list while the executor does not answer. After this time, which two list calls with their
 * timeouts take, nothing more is concluded from such a list.
 */
const MAX_LIST_AGE_MS: Millis = 4_000;

/** The controller's view of one executor. */
export class ExecutorState {
    info: ExecutorInfo | undefined;
    /** Whether this incarnation has listed its runs to this controller over the current connection. */
    isAttached = false;
    /** Whether connections to the executor were refused when its agent last reported. */
    isUnreachable = false;
    readonly runs = new Map<string, TrackedRun>();
    readonly unclaimedRuns = new Map<string, UnclaimedRun>();
    readonly recentEnds: EndView[] = [];
    /** Latest deadline that may have been granted, on the executor's clock. */
    deadlineMs = 0;
    /** End of the controller lease on the executor's clock; `undefined` before the first renewal. */
    controllerLeaseEndMs: number | undefined;
    /** A lease extension or a start is waiting for the next term renewal. */
    isAwaitingRenewal = false;
    /** Last reading of the executor's clock and the local time at which it arrived. */
    clock: { readonly readingMs: number; readonly at: Millis; } | undefined;
    /** Number of the last end that was applied. */
    lastAppliedEnd = 0;
    /** Number of the last end whose effects are durable. */
    durableEnd = 0;
    born = 0;
    /** When this controller learned of the current incarnation. */
    incarnationSeenAt: Millis = 0;
    /** Address the executor listens on, or listened on when an earlier controller placed a run there. */
    address: string | undefined;
    /** After a refusal, no new runs are placed here before this time. */
    backoffUntil: Millis = 0;

    constructor(readonly vm: string, readonly executorId: string) {}

    /** Whether a list with this clock reading repeats the last one, which has become too old. */
    isOutdatedList({ born, clockMs }: Pick<RunList, "born" | "clockMs">, now: Millis): boolean {
        const { clock } = this;
        return born === this.born && clockMs === clock?.readingMs && now - clock.at > MAX_LIST_AGE_MS;
    }

    recordEnd(end: EndView): void {
        this.recentEnds.push(end);
        if (this.recentEnds.length > MAX_RECENT_ENDS) {
            this.recentEnds.shift();
        }
    }
}
