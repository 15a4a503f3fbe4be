import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { EndView } from "@persimmonpitch/dispatch/dispatchView.js";
import type { ExecutorInfo } from "@persimmonpitch/workload/executorReport.js";
import type { Demand } from "@persimmonpitch/workload/step.js";

/** A run from its claim to its end, as the controller knows it. */
export interface HeldRun {
    readonly jobId: string;
    readonly key: string;
    readonly task: string;
    readonly run: number;
    readonly executorId: string;
    readonly born: number;
    readonly demand: Demand;
    /** On the controller's clock. */
    readonly orderedAt: Millis;
    /** The claim was written by an earlier controller, so no order of this one is under way. */
    readonly isInherited: boolean;
    /** The claim is durable, so the order may be sent. */
    isClaimed: boolean;
    /** The executor's clock when it answered the start or the stop. */
    startClockMs?: number;
    stopClockMs?: number;
    /** The order waits for a renewal of the term. */
    isHeldBack: boolean;
    isStopping: boolean;
    isStopSent: boolean;
    /** The task is done, but the executor still lists the run. */
    isConcluded: boolean;
    percent?: number;
    firstPercent?: number;
    firstListedAt?: Millis;
    progressAt?: Millis;
}

/** A run that an executor lists and no claim covers; it is stopped and takes up room until it is gone. */
export interface StrayRun {
    readonly task: string;
    readonly run: number;
    readonly demand: Demand;
}

/** Ends of runs that are remembered to judge the health of an executor. */
const REMEMBERED_ENDS = 20;

/** One executor as the controller knows it. */
export class ExecutorState {
    info: ExecutorInfo | undefined;
    /** Whether the executor has listed its runs to this controller over the open connection. */
    isAttached = false;
    readonly runs = new Map<string, HeldRun>();
    readonly strays = new Map<string, StrayRun>();
    readonly recentEnds: EndView[] = [];
    /** Highest deadline that may have been given, on the executor's clock. */
    deadlineMs = 0;
    /** End of the authority to start something here, on the executor's clock; unknown before the first renewal. */
    authorityEndMs: number | undefined;
    /** A lease or a start waits for the next renewal of the term. */
    isAuthorityAwaited = false;
    /** Last reading of the executor's clock, and when it arrived. */
    clock: { readonly readingMs: number; readonly at: Millis; } | undefined;
    /** Number of the last end that was taken in. */
    appliedEnd = 0;
    /** Number of the last end that is durable. */
    durableEnd = 0;
    born = 0;
    /** Where it listens, or listened when an earlier controller placed work on it. */
    address: string | undefined;
    /** New work waits until then after the executor refused some. */
    pausedUntil: Millis = 0;

    constructor(readonly vm: string, readonly executorId: string) {}

    noteEnd(end: EndView): void {
        this.recentEnds.push(end);
        if (this.recentEnds.length > REMEMBERED_ENDS) {
            this.recentEnds.shift();
        }
    }
}
