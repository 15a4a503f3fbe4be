import type { BackoffOptions } from "@persimmonpitch/clock/backoff.js";
import { backoffDelay } from "@persimmonpitch/clock/backoff.js";
import type { Millis } from "@persimmonpitch/clock/clock.js";
import { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import { withAnySignal } from "@persimmonpitch/clock/withAnySignal.js";
import type { ExecutorReport } from "@persimmonpitch/protocol/executorMessages.js";
import type { ExecutorInfo, RunList, StartRefusal } from "@persimmonpitch/workload/executorReport.js";
import { Result } from "true-myth";
import type { AgentContext } from "./agentContext.js";
import type { ExecutorFailure, ListRequest, OrderConfirmation } from "./executorPort.js";

/** Longest time for which an executor may defer the answer to a list call until a run ends. */
const LIST_LONG_POLL_MS: Millis = 1_000;

/** Added to the long-poll time of a list call to get its timeout. */
const LIST_TIMEOUT_MARGIN_MS: Millis = 1_000;

/** An end that is not durable yet makes every list call return immediately; the delay prevents a busy loop. */
const REPOLL_DELAY_MS: Millis = 200;

const RETRY_BACKOFF: BackoffOptions = { baseMs: 50, maxMs: 1_000 };

/** Full jitter may choose a delay near 0, which would retry a failing call without a pause. */
const MIN_RETRY_DELAY_MS: Millis = 20;

/** Longest wait while no controller has attached; a wake ends it early. */
const IDLE_WAIT_MS: Millis = 60_000;

/**
 * An executor that cannot be reached stays in reports longer than any lease, for controllers that attach late, and stop
 * orders for its runs are repeated.
 */
const UNREACHABLE_RETENTION_MS: Millis = 60_000;

/** A lease extension from the controller for one incarnation of an executor, with an acknowledgement of ends. */
export interface LeaseGrant {
    readonly born: number;
    readonly deadlineMs: Millis;
    readonly durableEnd: number;
}

/** A caller that waits for the response to a list call made after it asked for a refresh. */
interface RefreshWaiter {
    /** Number of the first list call whose response is recent enough. */
    readonly firstCall: number;
    readonly resolve: () => void;
}

/** What the agent knows of one incarnation of the executor. */
interface IncarnationState {
    list: RunList | undefined;
    listedAtMs: Millis;
    /** Whether the list was requested after the last controller attached. */
    isListCurrent: boolean;
    /**
     * Whether this incarnation answered the last list call and no call has failed and no pause has passed since. Ends
     * are only acknowledged to a confirmed incarnation.
     */
    isConfirmed: boolean;
    /** Since when connections to the executor are refused; undefined if the last one was not. */
    unreachableSinceMs: Millis | undefined;
    /** Whether the executor has deregistered. */
    isLeaving: boolean;
    deadlineMs: Millis | undefined;
    /** Number of the last end that the controller has written durably. */
    durableEnd: number;
    /** Number of the last end that the agent has acknowledged to the executor. */
    acknowledgedEnd: number;
    /** Number of the last end in any list. */
    lastListedEnd: number;
}

const createIncarnationState = (): IncarnationState => ({
    list: undefined,
    listedAtMs: 0,
    isListCurrent: false,
    isConfirmed: false,
    unreachableSinceMs: undefined,
    isLeaving: false,
    deadlineMs: undefined,
    durableEnd: 0,
    acknowledgedEnd: 0,
    lastListedEnd: 0,
});

/** State of one executor on the agent's VM, kept up to date by a task that long-polls its list of runs. */
export class ObservedExecutor {
    readonly executorId: string;
    private state = createIncarnationState();
    private readonly wakeSignal = new WakeSignal();
    private waiters: RefreshWaiter[] = [];
    private callNumber = 0;
    private pendingRequest: ListRequest | undefined;
    private listAbort = new AbortController();
    private consecutiveFailures = 0;
    private heartbeatAtMs: Millis;
    /** Whether a heartbeat of the present incarnation has told its service, labels and capacity. */
    private isDescribed = true;

    constructor(
        private readonly context: AgentContext,
        private info: ExecutorInfo,
        private heartbeatSequence: number,
    ) {
        this.executorId = info.executorId;
        this.heartbeatAtMs = context.clock.now();
    }

    /** Whether a heartbeat is of an earlier incarnation, or older than the last one applied. */
    isOutdated({ born }: ExecutorInfo, sequence: number): boolean {
        return this.isEarlierIncarnation(born) || (born === this.info.born && sequence <= this.heartbeatSequence);
    }

    /** Whether a heartbeat is of the present incarnation, at its present address. */
    isPresentIncarnation({ born, address }: ExecutorInfo): boolean {
        return born === this.info.born && address === this.info.address;
    }

    /** Whether a message is of an incarnation before the one that the last heartbeat was of. */
    isEarlierIncarnation(born: number): boolean {
        return born < this.info.born;
    }

    /** Applies a heartbeat that is not outdated, of the present incarnation or one that has been confirmed. */
    onHeartbeat(info: ExecutorInfo, sequence: number): void {
        if (info.born > this.info.born) {
            this.resetIncarnation(info.born);
            this.expediteList();
        }
        else if (this.consecutiveFailures > 0) {
            this.wakeSignal.wake();
        }
        this.info = info;
        this.isDescribed = true;
        this.heartbeatAtMs = this.context.clock.now();
        this.heartbeatSequence = sequence;
        this.context.onReportChange();
    }

    /** Marks the executor as leaving, so that nothing more is started on it. */
    markLeaving(): void {
        this.state.isLeaving = true;
        this.context.onReportChange();
    }

    /** Whether the executor has been unreachable and silent for so long that its state can be dropped. */
    get isExpired(): boolean {
        const { unreachableSinceMs } = this.state;
        const expiresAt = Math.max(unreachableSinceMs ?? Infinity, this.heartbeatAtMs) + UNREACHABLE_RETENTION_MS;
        return this.context.clock.now() >= expiresAt;
    }

    /** Whether the executor is reachable and has listed its runs since the last controller attached. */
    get isListed(): boolean {
        return this.currentList() !== undefined && !this.isUnreachable;
    }

    private get isUnreachable(): boolean {
        return this.state.unreachableSinceMs !== undefined;
    }

    /** Why no run can be started on the incarnation `born`; undefined if one can. */
    startRefusalFor(born: number): StartRefusal | undefined {
        if (born !== this.info.born) {
            return "incarnation";
        }
        return this.isDraining() ? "draining" : undefined;
    }

    /** Current time on the executor's clock, extrapolated from its last list; undefined without a list. */
    estimateExecutorClock(): Millis | undefined {
        const { list, listedAtMs } = this.state;
        return list === undefined ? undefined : list.clockMs + this.context.clock.now() - listedAtMs;
    }

    /**
     * The executor's clock when it answered an order, such that each list with a later reading was received after the
     * answer. A new incarnation may have answered, whose clock starts anew, while the list is one of the previous one.
     */
    clockAtAnswer({ clockMs }: OrderConfirmation): number {
        return Math.max(clockMs, this.state.list?.clockMs ?? -Infinity);
    }

    /** Applies a deadline and an acknowledgement; returns false if they are for another incarnation. */
    applyLease({ born, deadlineMs, durableEnd }: LeaseGrant): boolean {
        if (born !== this.info.born) {
            return false;
        }
        this.state.deadlineMs = Math.max(deadlineMs, this.state.deadlineMs ?? -Infinity);
        if (durableEnd > this.state.durableEnd) {
            this.state.durableEnd = durableEnd;
            this.expediteList();
        }
        return true;
    }

    /** Called when a call fails, so that no end is acknowledged until a list confirms the incarnation again. */
    markUnconfirmed(): void {
        this.state.isConfirmed = false;
    }

    /** Invalidates the list; resolves once the executor has answered a new list call or refuses connections. */
    refresh(): Promise<void> {
        this.state.isListCurrent = false;
        const listed = new Promise<void>(resolve => {
            this.waiters.push({ firstCall: this.callNumber + 1, resolve });
        });
        this.expediteList();
        return listed;
    }

    report(): ExecutorReport {
        const list = this.currentList();
        const { isUnreachable } = this;
        const { durableEnd, isLeaving } = this.state;
        const executor = { ...this.info, ...this.coldRemaining(), isDraining: this.isDraining() };
        const report = { executor, isUnreachable, hasLeft: isLeaving && isUnreachable };
        return list === undefined
            ? report
            : { ...report, list: { ...list, ends: list.ends.filter(({ number }) => number > durableEnd) } };
    }

    /** Lists the executor's runs repeatedly until the agent shuts down or the executor expires. */
    async run(): Promise<void> {
        const { clock, controllerEpoch, signal } = this.context;
        while (!signal.aborted && !this.isExpired) {
            // Calls carry a fencing token, which exists only once a controller has attached.
            const pauseMs = controllerEpoch.current === 0 ? IDLE_WAIT_MS : await this.listOnce();
            if (pauseMs > 0) {
                await this.wakeSignal.wait(clock, pauseMs, signal);
                // The executor may have restarted unnoticed while no call was open.
                this.markUnconfirmed();
            }
        }
    }

    /** Makes one list call and returns the delay before the next one. */
    private async listOnce(): Promise<Millis> {
        const { clock } = this.context;
        this.callNumber += 1;
        const { callNumber } = this;
        const request = this.nextRequest();
        this.pendingRequest = request;
        this.listAbort = new AbortController();
        const { signal } = this.listAbort;
        const startedAt = clock.now();
        const result = await this.callList(request, signal);
        this.pendingRequest = undefined;
        if (result.isOk) {
            return this.onList(result.value, request, callNumber, clock.now() - startedAt);
        }
        return signal.aborted ? 0 : this.onFailure(result.error);
    }

    private nextRequest(): ListRequest {
        const { isConfirmed, deadlineMs, durableEnd } = this.state;
        return {
            executorId: this.executorId,
            fencingToken: this.context.controllerEpoch.current,
            deadlineMs,
            // The call may reach a new incarnation, which numbers its unreported ends from the start again. An end is
            // therefore acknowledged only once, and only to a confirmed incarnation.
            acknowledgedEnd: isConfirmed && this.hasUnacknowledgedEnd() ? durableEnd : 0,
            waitMs: this.needsImmediateList() ? 0 : LIST_LONG_POLL_MS,
        };
    }

    private needsImmediateList(): boolean {
        const isListUnknown = this.state.list === undefined || this.consecutiveFailures > 0;
        return this.waiters.length > 0 || isListUnknown || this.hasUnacknowledgedEnd();
    }

    private hasUnacknowledgedEnd(): boolean {
        return this.state.durableEnd > this.state.acknowledgedEnd;
    }

    private callList(request: ListRequest, interruptSignal: AbortSignal): Promise<Result<RunList, ExecutorFailure>> {
        const { clock, port, signal } = this.context;
        return withAnySignal([interruptSignal, signal], callSignal => {
            const timeout = clock.sleep(request.waitMs + LIST_TIMEOUT_MARGIN_MS, callSignal).then(() => LIST_TIMED_OUT);
            return Promise.race([port.list(request, callSignal), timeout]);
        });
    }

    private onList(list: RunList, request: ListRequest, callNumber: number, elapsedMs: Millis): Millis {
        if (list.born < this.info.born) {
            this.markUnconfirmed();
            return REPOLL_DELAY_MS;
        }
        if (list.born > this.info.born) {
            this.resetIncarnation(list.born);
            this.isDescribed = false;
        }
        else {
            this.state.acknowledgedEnd = Math.max(this.state.acknowledgedEnd, request.acknowledgedEnd);
        }
        const { state } = this;
        const lastEnd = list.ends.at(-1)?.number ?? 0;
        const hasNewEnd = lastEnd > state.lastListedEnd;
        Object.assign(state, { list, listedAtMs: this.context.clock.now(), isConfirmed: true });
        this.markReachable();
        state.lastListedEnd = Math.max(state.lastListedEnd, lastEnd);
        state.isListCurrent ||= request.fencingToken === this.context.controllerEpoch.current
            && this.satisfiesAllWaiters(callNumber);
        this.consecutiveFailures = 0;
        this.resolveWaiters(callNumber);
        this.context.onReportChange();
        return !hasNewEnd && request.waitMs > 0 && elapsedMs < REPOLL_DELAY_MS ? REPOLL_DELAY_MS : 0;
    }

    private onFailure(failure: ExecutorFailure): Millis {
        const { logger, random, onReportChange } = this.context;
        this.consecutiveFailures += 1;
        this.markUnconfirmed();
        if (failure.kind === "notSent") {
            this.onNotSent(failure.detail);
        }
        logger.log("debug", "executor.listFailed", { executor: this.executorId, kind: failure.kind });
        onReportChange();
        return Math.max(MIN_RETRY_DELAY_MS, backoffDelay(RETRY_BACKOFF, this.consecutiveFailures, random));
    }

    /**
     * Keeps the last list: only a lapsed lease or a new incarnation shows that its runs are over, and its ends may not be
     * reported yet.
     */
    private onNotSent(detail: string): void {
        if (!this.isUnreachable) {
            this.context.logger.log("info", "executor.unreachable", { executor: this.executorId, detail });
        }
        this.state.unreachableSinceMs ??= this.context.clock.now();
        this.resolveWaiters(this.callNumber);
    }

    private markReachable(): void {
        if (this.isUnreachable) {
            this.context.logger.log("info", "executor.reachable", { executor: this.executorId });
        }
        this.state.unreachableSinceMs = undefined;
    }

    /** Whether the response to that call is recent enough for the last controller that attached. */
    private satisfiesAllWaiters(callNumber: number): boolean {
        return this.waiters.every(waiter => waiter.firstCall <= callNumber);
    }

    private resolveWaiters(callNumber: number): void {
        const satisfied = this.waiters.filter(waiter => waiter.firstCall <= callNumber);
        this.waiters = this.waiters.filter(waiter => waiter.firstCall > callNumber);
        satisfied.forEach(waiter => {
            waiter.resolve();
        });
    }

    /** Discards the state of the previous incarnation. */
    private resetIncarnation(born: number): void {
        this.context.logger.log("info", "executor.incarnation", { executor: this.executorId, born });
        this.state = createIncarnationState();
        this.info = { ...this.info, born };
        this.heartbeatSequence = -Infinity;
    }

    /** Aborts a pending long poll or a call with an outdated fencing token, and makes the next call immediately. */
    private expediteList(): void {
        const { pendingRequest } = this;
        if (
            pendingRequest !== undefined
            && (pendingRequest.waitMs > 0 || pendingRequest.fencingToken < this.context.controllerEpoch.current)
        ) {
            this.listAbort.abort();
        }
        this.wakeSignal.wake();
    }

    /** Undefined also for an incarnation without a heartbeat: nothing may start there under the labels of the last one. */
    private currentList(): RunList | undefined {
        return this.state.isListCurrent && this.isDescribed ? this.state.list : undefined;
    }

    /** Counts down from the last heartbeat, so that an executor without heartbeats does not stay cold. */
    private coldRemaining(): Pick<ExecutorInfo, "coldRemainingMs"> {
        const { coldRemainingMs } = this.info;
        const elapsedMs = this.context.clock.now() - this.heartbeatAtMs;
        return coldRemainingMs === undefined ? {} : { coldRemainingMs: Math.max(0, coldRemainingMs - elapsedMs) };
    }

    private isDraining(): boolean {
        return this.info.isDraining || this.state.isLeaving;
    }
}

const LIST_TIMED_OUT: Result<RunList, ExecutorFailure> = Result.err({
    kind: "unanswered",
    detail: "The executor did not answer in time.",
});
