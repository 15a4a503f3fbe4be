import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { StopReason } from "@persimmonpitch/dispatch/dispatchView.js";
import type { LogFields } from "@persimmonpitch/logging/logger.js";
import type { EndKind } from "@persimmonpitch/workload/executorReport.js";

/** Why the controller stopped a run or withdrew its start. */
export type RunStopReason = StopReason | "evacuated";

/** How long a task took and where. */
interface TaskDuration {
    readonly actualMs: Millis;
    /** The VM of the task, or of all members of its gang. */
    readonly vms: readonly string[];
}

/** Durations kept for each step, which suffice for a median. */
const MAX_DURATIONS = 200;

/** Statistics on the runs of one job while this process has been the controller. */
export class JobRunStats {
    private firstOrderedAt: Millis | undefined;
    private orders = 0;
    private losses = 0;
    private readonly stops: Partial<Record<RunStopReason, number>> = {};
    private readonly ends: Partial<Record<EndKind, number>> = {};
    private readonly durations = new Map<number, TaskDuration[]>();

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
    recordDuration(stepIndex: number, actualMs: Millis, vms: readonly string[] = []): void {
        const ofStep = this.durations.get(stepIndex) ?? [];
        if (ofStep.length < MAX_DURATIONS) {
            ofStep.push({ actualMs, vms });
        }
        this.durations.set(stepIndex, ofStep);
    }

    /**
     * Returns the run time of a task of the step at normal speed, or 0 if no task is done: the median of its tasks, as a
     * few take much longer. The members of a gang run at the speed of the slowest one, and the shortest duration is the
     * one without the wait for other members.
     */
    normalTaskMs(stepIndex: number, isGang: boolean, slownessOf: (vm: string) => number): Millis {
        const ofStep = this.durations.get(stepIndex) ?? [];
        const slownessIn = ({ vms }: TaskDuration): number =>
            vms.reduce((slowest, vm) => Math.max(slowest, slownessOf(vm)), 1);
        if (isGang) {
            const shortestMs = ofStep.reduce((least, { actualMs }) => Math.min(least, actualMs), Infinity);
            return ofStep.length === 0 ? 0 : shortestMs / Math.max(...ofStep.map(slownessIn));
        }
        const normal = ofStep.map(duration => duration.actualMs / slownessIn(duration)).sort((left, right) =>
            left - right
        );
        return normal[Math.floor((normal.length - 1) / 2)] ?? 0;
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
