import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import type { EndKind, RunInProgress } from "@persimmonpitch/workload/executorReport.js";
import type { GangMember, MemoryGangs } from "./memoryGangs.js";
import type { StepWork } from "./stepWork.js";
import { readCheckpoint, writeCheckpoint } from "./stepWork.js";

/** The executor as one of its runs sees it. */
export interface RunHost {
    readonly clock: Clock;
    readonly gangs: MemoryGangs;
    readonly gangTimeoutMs: Millis;
    readonly checkpointIntervalMs: Millis;
    /** Work per millisecond that the executor allows now. */
    pace(): number;
    failsAll(): boolean;
    /** End of the lease of everything on the executor, on `clock`. */
    leaseEnd(): Millis;
    onEnd(run: MemoryRun, kind: EndKind): void;
}

/** What a run was ordered to do. */
export interface RunOrder {
    readonly task: string;
    readonly run: number;
    readonly work: StepWork;
    readonly gang: string;
    readonly checkpoint: string | undefined;
    /** Time that the run needs before it goes on from a checkpoint. */
    readonly restoreMs: Millis;
}

/** Work after which a run fails on an executor that fails all of them. */
const FAIL_AFTER_MS: Millis = 100;

/** One run on an in-memory executor. */
export class MemoryRun implements GangMember {
    readonly gang: string;
    readonly gangSize: number;
    private readonly changed = new WakeSignal();
    private readonly startedAt: Millis;
    private readonly readyAt: Millis;
    private workMs: Millis;
    private settledAt: Millis;
    private stopAt = Infinity;
    private hasEnded = false;
    private share = 1;

    constructor(private readonly host: RunHost, readonly order: RunOrder) {
        this.gang = order.gang;
        this.gangSize = order.work.gangSize;
        this.startedAt = host.clock.now();
        this.settledAt = this.startedAt;
        this.workMs = readCheckpoint(order.checkpoint);
        this.readyAt = this.startedAt + (this.workMs > 0 ? order.restoreMs : 0);
    }

    /** Runs until the first event that ends it. */
    async execute(): Promise<void> {
        this.host.gangs.join(this);
        while (!this.hasEnded) {
            const now = this.host.clock.now();
            this.settle();
            const { at, kind } = this.nextEnd();
            if (at <= now) {
                this.end(kind);
                return;
            }
            await this.changed.wait(this.host.clock, at - now);
        }
    }

    /** Ends the run as stopped when the time is over; a repeated stop changes nothing. */
    stop(stopMs: Millis): void {
        this.host.gangs.settleGangOf(this);
        this.stopAt = Math.min(this.stopAt, this.host.clock.now() + stopMs);
        this.host.gangs.wakeGangOf(this);
    }

    /** Lets the run work at a share of its full speed. */
    setShare(share: number): void {
        this.host.gangs.settleGangOf(this);
        this.share = share;
        this.host.gangs.wakeGangOf(this);
    }

    /** What it adds now to the latency of a serving task beside it. */
    get disturbanceMs(): Millis {
        return this.order.work.disturbanceMs * this.share;
    }

    /** Ends the run without a listed end, with its executor. */
    vanish(): void {
        this.hasEnded = true;
        this.changed.wake();
    }

    end(kind: EndKind): void {
        if (!this.hasEnded) {
            this.settle();
            this.hasEnded = true;
            this.changed.wake();
            this.host.onEnd(this, kind);
            this.host.gangs.leave(this, kind);
        }
    }

    pace(): number {
        return this.stopAt === Infinity ? this.host.pace() * this.share : 0;
    }

    settle(): void {
        const now = this.host.clock.now();
        const from = Math.max(this.settledAt, this.readyAt);
        this.workMs += Math.max(0, now - from) * this.host.gangs.pace(this);
        this.settledAt = now;
    }

    wake(): void {
        this.changed.wake();
    }

    report(): RunInProgress {
        const { task, run, work } = this.order;
        this.settle();
        const percent = work.isLongRunning ? 0 : Math.min(100, Math.floor(this.workMs / work.runMs * 100));
        return {
            task,
            run,
            checkpoint: this.checkpoint(),
            percent,
            load: work.load ?? work.demand.milliCores,
        };
    }

    /** The newest checkpoint; one is made after each interval of work, and of all work at a stop. */
    checkpoint(kind?: EndKind): string {
        const { work, checkpoint = "" } = this.order;
        const interval = this.host.checkpointIntervalMs;
        const savedMs = kind === "stopped" ? this.workMs : Math.floor(this.workMs / interval) * interval;
        return work.hasCheckpoints && savedMs > readCheckpoint(checkpoint) ? writeCheckpoint(savedMs) : checkpoint;
    }

    /** The event that ends the run first, as things are; work that is done at the same moment wins. */
    private nextEnd(): { readonly at: Millis; readonly kind: EndKind; } {
        const { gangs, gangTimeoutMs } = this.host;
        const ends: readonly { readonly at: Millis; readonly kind: EndKind; }[] = [
            this.endOfWork(),
            { at: this.stopAt, kind: "stopped" },
            { at: this.host.leaseEnd(), kind: "lapsed" },
            { at: gangs.isComplete(this) ? Infinity : this.startedAt + gangTimeoutMs, kind: "alone" },
        ];
        return ends.reduce((first, end) => end.at < first.at ? end : first);
    }

    private endOfWork(): { readonly at: Millis; readonly kind: EndKind; } {
        const { runMs, isLongRunning, fails } = this.order.work;
        const failsAll = this.host.failsAll();
        const wholeMs = isLongRunning ? Infinity : runMs;
        const targetMs = failsAll ? Math.min(wholeMs, FAIL_AFTER_MS) : wholeMs;
        const remainingMs = Math.max(0, targetMs - this.workMs);
        const pace = this.host.gangs.pace(this);
        // A fraction of a millisecond would be lost to rounding on the fake clock, and waits of 0 would never end.
        const at = pace === 0 ? Infinity : Math.ceil(Math.max(this.settledAt, this.readyAt) + remainingMs / pace);
        return { at, kind: fails || failsAll ? "failed" : "done" };
    }
}
