import type { Millis } from "@persimmonpitch/clock/clock.js";
import { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import type {
    ExecutorFailure,
    ExecutorPort,
    ListRequest,
    OrderConfirmation,
    PaceOrder,
    ProbeRequest,
    StartOrder,
    StopOrder,
} from "@persimmonpitch/executor/executorPort.js";
import type { EndKind, ExecutorInfo, RunEnd, RunInProgress, RunList } from "@persimmonpitch/workload/executorReport.js";
import type { Demand } from "@persimmonpitch/workload/step.js";
import { Result } from "true-myth";
import { connectionRefused, refusal, unanswered } from "./executorFailures.js";
import { MemoryGangs } from "./memoryGangs.js";
import type { RunHost } from "./memoryRun.js";
import { MemoryRun } from "./memoryRun.js";
import type { StepExecutorFaults } from "./stepExecutorFaults.js";
import { NO_FAULTS } from "./stepExecutorFaults.js";
import type { StepExecutorOptions } from "./stepExecutorOptions.js";
import { gangKey, parseStepWork } from "./stepWork.js";

const DEFAULT_BORN = 1_764_000_000_000;
const DEFAULT_CAPACITY: Demand = { milliCores: 32_000, memoryMb: 65_536, accelerators: 8 };
const DEFAULT_STOP_MS: Millis = 100;
const DEFAULT_GANG_TIMEOUT_MS: Millis = 3_000;
const DEFAULT_CHECKPOINT_INTERVAL_MS: Millis = 1_000;
const DEFAULT_PACE_MS: Millis = 100;
const FULL_PERCENTAGE = 100;
const MAX_LEASE_MS: Millis = 10_000;

/** An executor lists at most so many ends at a time. */
const MAX_LISTED_ENDS = 500;

/** A silent executor's callers give up after this time. */
const SILENCE_MS: Millis = 5_000;

/** A start that the executor accepted. */
export interface AcceptedStart {
    readonly task: string;
    readonly run: number;
    readonly born: number;
    readonly fence: number;
    readonly at: Millis;
}

/** An end of a run, which the executor lists until it is acknowledged. */
export interface NotedEnd extends RunEnd {
    readonly born: number;
    readonly at: Millis;
}

/** A heartbeat of an executor. */
export interface ExecutorHeartbeat {
    readonly info: ExecutorInfo;
    readonly sequence: number;
}

const runKey = (task: string, run: number): string => `${task}#${run}`;

/** An executor of tasks of steps, in memory. */
export class MemoryStepExecutor implements ExecutorPort {
    /** Every start that was accepted, in all incarnations. */
    readonly starts: AcceptedStart[] = [];
    /** Every end, in all incarnations; runs that vanished with theirs have none. */
    readonly allEnds: NotedEnd[] = [];
    readonly counts = { lists: 0, starts: 0, stops: 0, paces: 0 };
    readonly executorId: string;
    born: number;
    private readonly faults: StepExecutorFaults = { ...NO_FAULTS };
    private readonly gangs: MemoryGangs;
    private readonly lists = new Set<WakeSignal>();
    private isUp = true;
    private isDraining = false;
    private remainingMs: Millis | undefined;
    private coldUntil: Millis = 0;
    private sequence = 0;
    /** When leases ended that were extended later. */
    private readonly lapses: Millis[] = [];
    // What follows is lost with the incarnation.
    private readonly running = new Map<string, MemoryRun>();
    private readonly ends: RunEnd[] = [];
    /** For each task the highest run number that ended or was stopped here. */
    private readonly lastRuns = new Map<string, number>();
    private endNumber = 0;
    private fence = 0;
    private leaseEnd: Millis = -Infinity;

    constructor(private readonly options: StepExecutorOptions) {
        this.executorId = options.executorId;
        this.born = options.born ?? DEFAULT_BORN;
        this.gangs = options.gangs ?? new MemoryGangs();
    }

    /** What the executor says of itself, under the next sequence number. */
    heartbeat(): ExecutorHeartbeat {
        this.sequence += 1;
        return { info: this.info(), sequence: this.sequence };
    }

    /** Whether the lease of this executor ended between two times. */
    hasLapsed(from: Millis, to: Millis): boolean {
        return [...this.lapses, this.leaseEnd - this.offset()].some(at => at >= from && at <= to);
    }

    info(): ExecutorInfo {
        const { service = "steps", address, dataCentre = "dc1", labels = [], capacity = DEFAULT_CAPACITY } =
            this.options;
        return {
            executorId: this.executorId,
            born: this.born,
            service,
            ...(address === undefined ? {} : { address }),
            dataCentre,
            isDraining: this.isDraining,
            ...(this.remainingMs === undefined ? {} : { remainingMs: this.remainingMs }),
            ...(this.coldUntil === 0
                ? {}
                : { coldRemainingMs: Math.max(0, this.coldUntil - this.options.clock.now()) }),
            capacity,
            labels: [...labels],
        };
    }

    /** Sets faults; runs and calls that wait notice at once. */
    setFaults(faults: Partial<StepExecutorFaults>): void {
        const runs = [...this.running.values()];
        runs.forEach(run => {
            this.gangs.settleGangOf(run);
        });
        Object.assign(this.faults, faults);
        runs.forEach(run => {
            this.gangs.wakeGangOf(run);
        });
        this.wakeLists();
    }

    /** Announces in the next heartbeats that the executor leaves; it still does what it is ordered. */
    drain(remainingMs: Millis): void {
        this.isDraining = true;
        this.remainingMs = remainingMs;
    }

    /** Announces in the next heartbeats that the executor works slowly for some time. */
    setCold(remainingMs: Millis): void {
        this.coldUntil = this.options.clock.now() + remainingMs;
    }

    /** Ends the process: its runs and all that it knew are lost, and nothing listens. */
    crash(): void {
        this.isUp = false;
        const runs = [...this.running.values()];
        this.running.clear();
        this.ends.length = 0;
        this.lastRuns.clear();
        this.endNumber = 0;
        this.fence = 0;
        this.leaseEnd = -Infinity;
        // All runs are over before one leaves its gang, so that none of them ends as broken here.
        runs.forEach(run => {
            run.vanish();
        });
        runs.forEach(run => {
            this.gangs.leave(run);
        });
        this.wakeLists();
    }

    /** Starts a new incarnation under the same id. */
    restart(): void {
        this.crash();
        this.born += 1;
        this.sequence = 0;
        this.isDraining = false;
        this.remainingMs = undefined;
        this.coldUntil = 0;
        this.isUp = true;
    }

    start(order: StartOrder, signal?: AbortSignal): Promise<Result<OrderConfirmation, ExecutorFailure>> {
        this.counts.starts += 1;
        return this.order(() => this.acceptStart(order), signal);
    }

    stop(order: StopOrder, signal?: AbortSignal): Promise<Result<OrderConfirmation, ExecutorFailure>> {
        this.counts.stops += 1;
        return this.order(() => this.acceptStop(order), signal);
    }

    pace(order: PaceOrder): Promise<Result<OrderConfirmation, ExecutorFailure>> {
        this.counts.paces += 1;
        return this.order(() => this.acceptPace(order));
    }

    /** Tail latency of a serving task at this moment; undefined if the task does not run here. */
    latencyOf(task: string): Millis | undefined {
        const serving = [...this.running.values()].find(({ order }) => order.task === task);
        return serving === undefined ? undefined : this.loadOf(serving);
    }

    async list(request: ListRequest, signal?: AbortSignal): Promise<Result<RunList, ExecutorFailure>> {
        this.counts.lists += 1;
        const fault = await this.failCall(signal);
        if (fault !== undefined) {
            return fault;
        }
        if (!this.admits(request.fencingToken)) {
            return refusal("fence");
        }
        this.extendLease(request.deadlineMs ?? -Infinity);
        const kept = this.ends.filter(({ number }) => number > request.acknowledgedEnd);
        this.ends.splice(0, this.ends.length, ...kept);
        const { born } = this;
        await this.waitForEnd(request.waitMs, signal);
        if (this.born !== born || !this.isUp || this.faults.refusesConnections) {
            return this.faults.silent ? unanswered("The executor is silent.") : connectionRefused();
        }
        return signal?.aborted === true ? unanswered("The call was aborted.") : Result.ok(this.runList());
    }

    probe(request: ProbeRequest, signal?: AbortSignal): Promise<Result<RunList, ExecutorFailure>> {
        return this.list({ ...request, acknowledgedEnd: 0, waitMs: 0 }, signal);
    }

    private runList(): RunList {
        return {
            born: this.born,
            clockMs: this.now(),
            running: [...this.running.values()].map(run => this.reportOf(run)),
            ends: structuredClone(this.ends.slice(0, MAX_LISTED_ENDS)),
            hasMoreEnds: this.ends.length >= MAX_LISTED_ENDS,
        };
    }

    private reportOf(run: MemoryRun): RunInProgress {
        const { load, ...report } = run.report();
        return this.faults.measuresNothing ? report : { ...report, load: this.loadOf(run) ?? load };
    }

    private loadOf({ order: { work } }: MemoryRun): Millis | undefined {
        return work.servesUsers
            ? [...this.running.values()].reduce((sum, other) => sum + other.disturbanceMs, work.load ?? 0)
            : undefined;
    }

    private async waitForEnd(waitMs: Millis, signal: AbortSignal | undefined): Promise<void> {
        const { clock } = this.options;
        const until = clock.now() + waitMs;
        const wake = new WakeSignal();
        this.lists.add(wake);
        const isIdle = () => this.ends.length === 0 && this.isUp && !this.faults.refusesConnections;
        while (isIdle() && clock.now() < until && signal?.aborted !== true) {
            await wake.wait(clock, until - clock.now(), signal);
        }
        this.lists.delete(wake);
    }

    private async order(
        accept: () => Result<OrderConfirmation, ExecutorFailure>,
        signal?: AbortSignal,
    ): Promise<Result<OrderConfirmation, ExecutorFailure>> {
        const fault = await this.failCall();
        if (fault !== undefined) {
            return fault;
        }
        if (this.faults.unansweredOrders === 0) {
            return accept();
        }
        this.faults.unansweredOrders -= 1;
        void this.acceptLater(accept, this.faults.orderDelayMs, signal);
        return unanswered("The order is under way.");
    }

    private async acceptLater(accept: () => unknown, delayMs: Millis, signal?: AbortSignal): Promise<void> {
        const { born } = this;
        if (delayMs > 0) {
            await this.options.clock.sleep(delayMs);
        }
        const reachesIncarnation = this.born === born || this.faults.ordersOutliveRestart && signal?.aborted !== true;
        if (this.isUp && reachesIncarnation) {
            accept();
        }
    }

    private acceptStart(order: StartOrder): Result<OrderConfirmation, ExecutorFailure> {
        const { task, run, fencingToken: fence, deadlineMs, payload, checkpoint } = order;
        if (!this.admits(fence)) {
            return refusal("fence");
        }
        const key = runKey(task, run);
        if (this.running.has(key)) {
            this.extendLease(deadlineMs);
            return Result.ok({ clockMs: this.now() });
        }
        if (run <= (this.lastRuns.get(task) ?? 0)) {
            return refusal("old");
        }
        if (deadlineMs <= this.now()) {
            return refusal("late");
        }
        if (this.options.acceptsTicket?.(order) === false) {
            return refusal("ticket");
        }
        const work = (this.options.workOf ?? ((_, text) => parseStepWork(text)))(task, payload);
        if (!this.hasRoom(work.demand)) {
            return refusal("room");
        }
        this.extendLease(deadlineMs);
        const gang = work.gangSize === 1 ? key : gangKey(task, run);
        const restoreMs = this.options.restoreMs ?? 0;
        const started = new MemoryRun(this.host(), { task, run, work, gang, checkpoint, restoreMs });
        this.running.set(key, started);
        this.starts.push({ task, run, born: this.born, fence, at: this.options.clock.now() });
        void started.execute();
        return Result.ok({ clockMs: this.now() });
    }

    private acceptStop({ task, run, fencingToken: fence }: StopOrder): Result<OrderConfirmation, ExecutorFailure> {
        if (!this.admits(fence)) {
            return refusal("fence");
        }
        this.noteLastRun(task, run);
        this.running.get(runKey(task, run))?.stop(this.options.stopMs ?? DEFAULT_STOP_MS);
        return Result.ok({ clockMs: this.now() });
    }

    private acceptPace(
        { task, run, fencingToken: fence, percentage }: PaceOrder,
    ): Result<OrderConfirmation, ExecutorFailure> {
        if (!this.admits(fence)) {
            return refusal("fence");
        }
        const paced = this.running.get(runKey(task, run));
        if (paced === undefined) {
            return refusal("old");
        }
        const { clock, paceMs = DEFAULT_PACE_MS } = this.options;
        void clock.sleep(paceMs).then(() => {
            paced.setShare(percentage / FULL_PERCENTAGE);
        });
        return Result.ok({ clockMs: this.now() });
    }

    private host(): RunHost {
        const { clock, gangTimeoutMs, checkpointIntervalMs } = this.options;
        return {
            clock,
            gangs: this.gangs,
            gangTimeoutMs: gangTimeoutMs ?? DEFAULT_GANG_TIMEOUT_MS,
            checkpointIntervalMs: checkpointIntervalMs ?? DEFAULT_CHECKPOINT_INTERVAL_MS,
            pace: () => this.faults.standsStill ? 0 : 1 / this.faults.slowFactor,
            failsAll: () => this.faults.failAll,
            leaseEnd: () => this.leaseEnd - this.offset(),
            onEnd: (run, kind) => {
                this.onEnd(run, kind);
            },
        };
    }

    private onEnd(ended: MemoryRun, kind: EndKind): void {
        const { task, run } = ended.order;
        this.running.delete(runKey(task, run));
        this.noteLastRun(task, run);
        this.endNumber += 1;
        const end: RunEnd = { number: this.endNumber, task, run, kind, checkpoint: ended.checkpoint(kind) };
        this.ends.push(end);
        this.allEnds.push({ ...end, born: this.born, at: this.options.clock.now() });
        this.wakeLists();
    }

    private noteLastRun(task: string, run: number): void {
        this.lastRuns.set(task, Math.max(run, this.lastRuns.get(task) ?? 0));
    }

    private hasRoom(demand: Demand): boolean {
        const { capacity = DEFAULT_CAPACITY } = this.options;
        const taken = [...this.running.values()].map(({ order }) => order.work.demand);
        const names = ["milliCores", "memoryMb", "accelerators"] as const;
        return names.every(name => taken.reduce((sum, other) => sum + other[name], demand[name]) <= capacity[name]);
    }

    /** Whether an order under that token is taken; a higher one shuts out the lower ones. */
    private admits(fence: number): boolean {
        this.fence = Math.max(this.fence, fence);
        return fence === this.fence;
    }

    /** The lease only ever extends. */
    private extendLease(deadlineMs: Millis): void {
        if (this.leaseEnd < this.now()) {
            this.lapses.push(this.leaseEnd - this.offset());
        }
        this.leaseEnd = Math.max(this.leaseEnd, Math.min(deadlineMs, this.now() + MAX_LEASE_MS));
    }

    /** The answer to a call under a fault that fails every call. */
    private async failCall(signal?: AbortSignal): Promise<Result<never, ExecutorFailure> | undefined> {
        if (!this.isUp || this.faults.refusesConnections) {
            return connectionRefused();
        }
        if (this.faults.silent) {
            await this.options.clock.sleep(SILENCE_MS, signal);
            return unanswered("The executor is silent.");
        }
        return undefined;
    }

    private offset(): Millis {
        return this.options.clockOffsetMs ?? 0;
    }

    private now(): Millis {
        return this.options.clock.now() + this.offset();
    }

    private wakeLists(): void {
        this.lists.forEach(wake => {
            wake.wake();
        });
    }
}
