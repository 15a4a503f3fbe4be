import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { PacingState } from "@persimmonpitch/dispatch/pacing.js";
import { decidePacing, INITIAL_PACING } from "@persimmonpitch/dispatch/pacing.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { Timings } from "@persimmonpitch/workload/timings.js";
import type { AgentConnection } from "./agentTask.js";
import type { ClusterState } from "./clusterState.js";
import type { ExecutorState, TrackedRun } from "./executorState.js";

export interface PacerOptions {
    readonly cluster: ClusterState;
    readonly timings: Timings;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly epoch: number;
    readonly connectionOf: (vm: string) => AgentConnection | undefined;
}

/** State of the pace orders to one background run. */
interface PaceOrderState {
    /**
     * `undefined` until this controller sends an order. The run starts at 100%, but an earlier controller may have
     * changed that, as may a late order for an earlier incarnation of the executor.
     */
    orderedPercentage: number | undefined;
    /** Whether the executor confirmed the last order. */
    isConfirmed: boolean;
    isInFlight: boolean;
    retryAt: Millis;
    /** Until this time an unanswered order may still take effect, so the last order is repeated. */
    repeatUntil: Millis;
}

const ORDER_TIMEOUT_MS: Millis = 2_500;
const RETRY_MS: Millis = 1_000;
const LATE_ORDER_MS: Millis = 10_000;

const START_PERCENTAGE = 100;

const isActiveBackgroundRun = (
    { isBackground, isStopping, isTaskDone, startAnswerClockMs, firstListedAt }: TrackedRun,
): boolean =>
    isBackground && !isStopping && !isTaskDone && (startAnswerClockMs !== undefined || firstListedAt !== undefined);

const runId = ({ task, run }: TrackedRun): string => `${task}#${run}`;

/** Throttles background runs that disturb user-facing tasks. */
export class Pacer {
    private readonly states = new Map<string, PacingState>();
    private readonly orderStates = new WeakMap<TrackedRun, PaceOrderState>();

    constructor(private readonly options: PacerOptions) {}

    /** Computes the pace for each executor and sends changed orders. */
    apply(): void {
        for (const state of this.options.cluster.executors.values()) {
            const backgroundRuns = [...state.runs.values()].filter(isActiveBackgroundRun);
            if (backgroundRuns.length === 0 || !state.isAttached) {
                this.states.delete(state.executorId);
            }
            else {
                this.pace(state, backgroundRuns);
            }
        }
    }

    private pace(state: ExecutorState, backgroundRuns: readonly TrackedRun[]): void {
        const { clock, timings: { paceMs, disruptionMs } } = this.options;
        const serving = [...state.runs.values()].flatMap(tracked => {
            const { servingTargetMs: targetMs, measurement, orderedAt } = tracked;
            return targetMs === undefined
                ? []
                : [{
                    id: runId(tracked),
                    targetMs,
                    latencyMs: measurement?.load,
                    measuredAt: measurement?.at ?? orderedAt,
                }];
        });
        const pacing = decidePacing(this.states.get(state.executorId) ?? INITIAL_PACING, {
            now: clock.now(),
            paceMs,
            disruptionMs,
            serving,
            backgroundRuns: backgroundRuns.map(tracked => ({
                id: runId(tracked),
                percentage: this.orderStateOf(tracked).orderedPercentage,
            })),
        });
        this.states.set(state.executorId, pacing.state);
        for (const tracked of backgroundRuns) {
            this.updateOrder(state, tracked, pacing.percentages.get(runId(tracked)) ?? 0);
        }
    }

    private orderStateOf(tracked: TrackedRun): PaceOrderState {
        const existing = this.orderStates.get(tracked);
        if (existing !== undefined) {
            return existing;
        }
        const isPaceKnown = !tracked.isInherited && !tracked.isCarriedOver;
        const orderState = {
            orderedPercentage: isPaceKnown ? START_PERCENTAGE : undefined,
            isConfirmed: isPaceKnown,
            isInFlight: false,
            retryAt: 0,
            repeatUntil: 0,
        };
        this.orderStates.set(tracked, orderState);
        return orderState;
    }

    private updateOrder(state: ExecutorState, tracked: TrackedRun, percentage: number): void {
        const orderState = this.orderStateOf(tracked);
        const now = this.options.clock.now();
        const isChanged = percentage !== orderState.orderedPercentage;
        if (isChanged) {
            this.options.logger.log("info", "run.paced", { task: tracked.task, run: tracked.run, percentage });
            orderState.orderedPercentage = percentage;
            orderState.isConfirmed = false;
            orderState.retryAt = now;
        }
        const isDue = now >= orderState.retryAt && (!orderState.isConfirmed || now < orderState.repeatUntil);
        // Concurrent orders for one run could arrive out of order.
        if (isDue && !orderState.isInFlight) {
            void this.send(state, tracked, orderState, percentage);
        }
    }

    private async send(
        state: ExecutorState,
        tracked: TrackedRun,
        orderState: PaceOrderState,
        percentage: number,
    ): Promise<void> {
        const { clock, epoch, connectionOf } = this.options;
        orderState.isInFlight = true;
        const answer = await connectionOf(state.vm)?.call("agent.pace", {
            epoch,
            executorId: state.executorId,
            task: tracked.task,
            run: tracked.run,
            percentage,
        }, ORDER_TIMEOUT_MS);
        orderState.isInFlight = false;
        const kind = answer?.isOk === true ? answer.value.kind : "unclear";
        if (kind === "unclear") {
            orderState.repeatUntil = clock.now() + LATE_ORDER_MS;
        }
        if (percentage === orderState.orderedPercentage) {
            orderState.isConfirmed = kind === "paced";
            orderState.retryAt = clock.now() + RETRY_MS;
        }
    }
}
