import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { ControllerToAgentMethods } from "@persimmonpitch/protocol/executorMessages.js";
import type { ResultOf } from "@persimmonpitch/protocol/method.js";
import type { StartRefusal } from "@persimmonpitch/workload/executorReport.js";
import type { ActiveJobs } from "./activeJobs.js";
import type { AdviceCache } from "./adviceCache.js";
import type { AgentConnection } from "./agentTask.js";
import type { ClusterState } from "./clusterState.js";
import type { ControllerContext } from "./controllerContext.js";
import type { ControllerLease } from "./controllerLease.js";
import type { ExecutorState, TrackedRun, UnclaimedRun } from "./executorState.js";

export interface OrderSenderOptions {
    readonly cluster: ClusterState;
    readonly advice: AdviceCache;
    readonly jobs: ActiveJobs;
    readonly context: ControllerContext;
    readonly epoch: number;
    readonly controllerLease: Pick<ControllerLease, "isValid">;
    /** Called when an order has to wait for a term renewal. */
    readonly onRenewalNeeded: () => void;
    readonly connectionOf: (vm: string) => AgentConnection | undefined;
    readonly onChanged: () => void;
}

type StopResult = ResultOf<ControllerToAgentMethods["agent.stop"]>;

/** Bounds one call, not the order: the agent repeats an order until the executor answers. */
const ORDER_TIMEOUT_MS: Millis = 15_000;
const STOP_RETRY_MS: Millis = 300;

/** How long an executor gets no new runs after a refusal, by reason. */
const REFUSAL_BACKOFF_MS: Readonly<Record<StartRefusal, Millis>> = {
    fence: 0,
    old: 0,
    late: 200,
    room: 500,
    ticket: 0,
    unhealthy: 1_000,
    invalid: 0,
    incarnation: 200,
    draining: 0,
};

/** Sends orders to agents and handles the responses. */
export class OrderSender {
    private readonly pendingUnclaimedStops = new Set<string>();

    constructor(private readonly options: OrderSenderOptions) {}

    /** Starts a run whose claim is durable. */
    start(tracked: TrackedRun): void {
        const state = this.stateOf(tracked);
        if (state === undefined) {
            return;
        }
        // The job may have been cancelled since the claim was decided, and the next pass has not marked the run yet.
        const isEnded = this.options.jobs.byId.get(tracked.jobId)?.isOpen !== true;
        const isStale = isEnded || tracked.isStopping || tracked.isTaskDone || !state.isAttached
            || state.born !== tracked.born
            || state.info?.isDraining === true;
        if (isStale) {
            // Nothing was sent, so nothing can be running.
            this.options.cluster.markRunLost(tracked, "notSent");
            this.options.onChanged();
            return;
        }
        void this.sendStart(state, tracked);
    }

    /**
     * After a reconnection to the agent, sends again the start orders of runs that the executor has never listed and
     * the stop orders of runs that are stopping.
     */
    resendOrders(state: ExecutorState): void {
        for (const tracked of state.runs.values()) {
            const isUnlisted = tracked.isClaimDurable && !tracked.isInherited && tracked.firstListedAt === undefined
                && tracked.born === state.born;
            if (tracked.isStopping) {
                tracked.isStopSent = false;
                this.stop(tracked);
            }
            else if (isUnlisted && !tracked.isTaskDone) {
                void this.sendStart(state, tracked);
            }
        }
    }

    /** Sends the starts that were waiting for a term renewal. */
    sendDeferredStarts(state: ExecutorState): void {
        for (const tracked of [...state.runs.values()].filter(({ isAwaitingRenewal }) => isAwaitingRenewal)) {
            tracked.isAwaitingRenewal = false;
            if (!tracked.isStopping && !tracked.isTaskDone) {
                void this.sendStart(state, tracked);
            }
        }
    }

    /** Takes back a start that may not have taken effect. */
    withdraw(tracked: TrackedRun): void {
        const wasSent = tracked.isInherited || tracked.startSentAt !== undefined;
        if (tracked.isClaimDurable && !wasSent) {
            this.options.cluster.markRunLost(tracked, "notSent");
            this.options.onChanged();
        }
        else {
            this.stop(tracked);
        }
    }

    /** Stops a run. It counts against the executor's capacity until the executor lists its end. */
    stop(tracked: TrackedRun): void {
        tracked.isStopping = true;
        const state = this.stateOf(tracked);
        const canSend = state?.isAttached === true || state?.isUnreachable === true;
        // A run whose claim is not durable yet is dropped when the claim becomes durable.
        if (canSend && tracked.isClaimDurable && !tracked.isStopSent) {
            tracked.isStopSent = true;
            void this.sendStop(state, tracked);
        }
    }

    /** Stops a run that has no claim. */
    stopUnclaimed(state: ExecutorState, unclaimed: UnclaimedRun): void {
        const id = `${unclaimed.task}#${unclaimed.run}`;
        if (!state.isAttached || this.pendingUnclaimedStops.has(id)) {
            return;
        }
        this.pendingUnclaimedStops.add(id);
        this.options.context.logger.log("info", "run.stray", {
            task: unclaimed.task,
            run: unclaimed.run,
            vm: state.vm,
        });
        void this.callStop(state, unclaimed).finally(() => {
            this.pendingUnclaimedStops.delete(id);
        });
    }

    private stateOf(tracked: TrackedRun): ExecutorState | undefined {
        const state = this.options.cluster.executors.get(tracked.executorId);
        return state?.runs.get(tracked.task) === tracked ? state : undefined;
    }

    private isEvacuated({ info }: ExecutorState): boolean {
        return info !== undefined && this.options.context.evacuation.isEvacuated(info.dataCentre);
    }

    private async sendStart(state: ExecutorState, tracked: TrackedRun): Promise<void> {
        if (this.isEvacuated(state)) {
            this.withdraw(tracked);
            return;
        }
        const { context, epoch, jobs, controllerLease, advice, onRenewalNeeded, onChanged } = this.options;
        const connection = this.options.connectionOf(state.vm);
        const openJob = jobs.byId.get(tracked.jobId);
        if (connection === undefined || openJob === undefined) {
            return;
        }
        if (!controllerLease.isValid || state.controllerLeaseEndMs === undefined) {
            tracked.isAwaitingRenewal = true;
            state.isAwaitingRenewal = true;
            onRenewalNeeded();
            return;
        }
        const deadlineMs = state.controllerLeaseEndMs;
        state.deadlineMs = Math.max(state.deadlineMs, deadlineMs);
        const checkpoint = openJob.task(tracked.key).checkpoint;
        const ticket = advice.ticketFor(tracked);
        tracked.unansweredStarts += 1;
        tracked.startSentAt = context.clock.now();
        const answer = await connection.call("agent.start", {
            epoch,
            executorId: state.executorId,
            born: tracked.born,
            task: tracked.task,
            run: tracked.run,
            payload: openJob.job.payload,
            ...(checkpoint === undefined ? {} : { checkpoint }),
            ...(ticket === undefined ? {} : { ticket }),
            deadlineMs,
        }, ORDER_TIMEOUT_MS);
        if (answer.isErr || this.stateOf(tracked) === undefined) {
            return;
        }
        switch (answer.value.kind) {
            case "started":
                tracked.unansweredStarts -= 1;
                tracked.startAnswerClockMs = answer.value.clockMs;
                return;
            case "refused":
                if (answer.value.reason === "ticket") {
                    advice.discard(tracked);
                }
                state.backoffUntil = context.clock.now() + REFUSAL_BACKOFF_MS[answer.value.reason];
                tracked.unansweredStarts -= 1;
                this.handleRefusal(tracked, answer.value.reason, answer.value.stoppedClockMs);
                break;
            case "abandoned":
            case "unclear":
                break;
            default: {
                const never: never = answer.value;
                return never;
            }
        }
        onChanged();
    }

    /** A run that may have started is kept until a later list shows how it ended or that it never started. */
    private handleRefusal(tracked: TrackedRun, reason: StartRefusal, stoppedClockMs: number | undefined): void {
        if (stoppedClockMs === undefined && tracked.unansweredStarts > 0) {
            // An earlier order, for example through an agent process that ended, may have started the run.
            this.stop(tracked);
            return;
        }
        if (stoppedClockMs === undefined) {
            this.options.cluster.markRunLost(tracked, `refused: ${reason}`);
            return;
        }
        tracked.isStopping = true;
        tracked.isStopSent = true;
        tracked.stopAnswerClockMs = stoppedClockMs;
    }

    private async sendStop(state: ExecutorState, tracked: TrackedRun): Promise<void> {
        const result = await this.callStop(state, tracked);
        if (result?.kind === "stopped") {
            tracked.stopAnswerClockMs = result.clockMs;
        }
        else if (this.stateOf(tracked) !== undefined) {
            await this.options.context.clock.sleep(STOP_RETRY_MS);
            tracked.isStopSent = false;
        }
        this.options.onChanged();
    }

    /** Returns `undefined` if the agent did not answer. */
    private async callStop(
        state: ExecutorState,
        { task, run }: UnclaimedRun | TrackedRun,
    ): Promise<StopResult | undefined> {
        const { epoch, controllerLease, connectionOf } = this.options;
        // A controller that was paused must not stop a run that its successor wants to keep.
        const connection = controllerLease.isValid ? connectionOf(state.vm) : undefined;
        const answer = await connection?.call(
            "agent.stop",
            { epoch, executorId: state.executorId, task, run },
            ORDER_TIMEOUT_MS,
        );
        return answer?.isOk === true ? answer.value : undefined;
    }
}
