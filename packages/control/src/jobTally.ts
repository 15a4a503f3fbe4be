import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { StopReason } from "@persimmonpitch/dispatch/dispatchView.js";
import type { LogFields } from "@persimmonpitch/logging/logger.js";
import type { EndKind } from "@persimmonpitch/workload/executorReport.js";

/** Counts what became of the runs of one job while this process was the controller. */
export class JobTally {
    private firstOrderedAt: Millis | undefined;
    private orders = 0;
    private losses = 0;
    private readonly stops: Partial<Record<StopReason, number>> = {};
    private readonly ends: Partial<Record<EndKind, number>> = {};
    private readonly longestMs = new Map<number, Millis>();

    noteOrder(at: Millis): void {
        this.firstOrderedAt ??= at;
        this.orders += 1;
    }

    noteStop(reason: StopReason): void {
        this.stops[reason] = (this.stops[reason] ?? 0) + 1;
    }

    /** A run is gone, and nothing said how it ended. */
    noteLoss(): void {
        this.losses += 1;
    }

    noteEnd(kind: EndKind): void {
        this.ends[kind] = (this.ends[kind] ?? 0) + 1;
    }

    /** A task of the step took this long. */
    noteTime(stepIndex: number, actualMs: Millis): void {
        this.longestMs.set(stepIndex, Math.max(this.longestMs.get(stepIndex) ?? 0, actualMs));
    }

    /** The longest time that a task of the step took; 0 while none is done. */
    longestTaskMs(stepIndex: number): Millis {
        return this.longestMs.get(stepIndex) ?? 0;
    }

    /** The sums for a line of a job that was accepted at that time; causes that did not occur are left out. */
    fields(acceptedAt: Millis): LogFields {
        const { firstOrderedAt, orders, losses, stops, ends } = this;
        return {
            waitMs: firstOrderedAt === undefined ? undefined : Math.round(firstOrderedAt - acceptedAt),
            orders,
            done: ends.done,
            failed: ends.failed,
            lapsed: ends.lapsed,
            broken: ends.broken,
            alone: ends.alone,
            lost: losses === 0 ? undefined : losses,
            ...stops,
        };
    }
}
