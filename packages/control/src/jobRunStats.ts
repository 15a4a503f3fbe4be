import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { StopReason } from "@persimmonpitch/dispatch/dispatchView.js";
import type { LogFields } from "@persimmonpitch/logging/logger.js";
import type { EndKind } from "@persimmonpitch/workload/executorReport.js";

/** Why the controller stopped a run or withdrew its start. */
export type RunStopReason = StopReason | "evacuated";

/** Statistics on the runs of one job while this process has been the controller. */
export class JobRunStats {
    private firstOrderedAt: Millis | undefined;
    private orders = 0;
    private losses = 0;
    private readonly stops: Partial<Record<RunStopReason, number>> = {};
    private readonly ends: Partial<Record<EndKind, number>> = {};
    private readonly longestDurationMs = new Map<number, Millis>();

    recordOrder(at: Millis): void {
        this.firstOrderedAt ??= at;
        this.orders += 1;
    }

    recordStop(reason: RunStopReason): void {
        this.stops[reason] = (this.stops[reason] ?? 0) + 1;
    }

    /** Records a run that is gone without a reported end. */
    recordLoss(): void {
        this.losses += 1;
    }

    recordEnd(kind: EndKind): void {
        this.ends[kind] = (this.ends[kind] ?? 0) + 1;
    }

    /** Records how long a task of the step took. */
    recordDuration(stepIndex: number, actualMs: Millis): void {
        this.longestDurationMs.set(stepIndex, Math.max(this.longestDurationMs.get(stepIndex) ?? 0, actualMs));
    }

    /** Returns the longest task duration of the step, or 0 if no task is done. */
    longestTaskMs(stepIndex: number): Millis {
        return this.longestDurationMs.get(stepIndex) ?? 0;
    }

    /** Returns the totals as log fields for a job accepted at `acceptedAt`. Causes that did not occur are omitted. */
    toLogFields(acceptedAt: Millis): LogFields {
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
