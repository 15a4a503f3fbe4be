import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { ControllerToAgentMethods } from "@persimmonpitch/protocol/executorMessages.js";
import type { ParamsOf, ResultOf } from "@persimmonpitch/protocol/method.js";
import type { StartRefusal } from "@persimmonpitch/workload/executorReport.js";
import type { AgentContext } from "./agentContext.js";
import type { ObservedExecutor } from "./observedExecutor.js";
import type { OrderOutcome, OrderResponse, RetryOptions } from "./retryOrder.js";
import { retryOrder } from "./retryOrder.js";

type StartParams = ParamsOf<ControllerToAgentMethods["agent.start"]>;
type StartResult = ResultOf<ControllerToAgentMethods["agent.start"]>;
type StopParams = ParamsOf<ControllerToAgentMethods["agent.stop"]>;
type StopResult = ResultOf<ControllerToAgentMethods["agent.stop"]>;

/** The run that an order is for, and the epoch of the controller that sent it. */
type RunTarget = Pick<StopParams, "epoch" | "executorId" | "task" | "run">;

/** A start whose order is being sent or retried. */
interface StartInProgress {
    readonly abortController: AbortController;
    readonly result: Promise<StartResult>;
}

const orderKey = ({ epoch, executorId, task, run }: RunTarget): string =>
    JSON.stringify([epoch, executorId, task, run]);

const refuseStart = (reason: StartRefusal, stoppedClockMs?: number): StartResult => ({
    kind: "refused",
    reason,
    ...(stoppedClockMs === undefined ? {} : { stoppedClockMs }),
});

/** Forwards the controller's start and stop orders to executors and retries them until they are answered. */
export class OrderForwarder {
    private readonly startsInProgress = new Map<string, StartInProgress>();
    private readonly stopsInProgress = new Map<string, Promise<StopResult>>();

    constructor(
        private readonly context: AgentContext,
        private readonly findExecutor: (executorId: string) => ObservedExecutor | undefined,
    ) {}

    async start(params: StartParams): Promise<StartResult> {
        if (params.epoch !== this.context.controllerEpoch.current) {
            return refuseStart("fence");
        }
        const key = orderKey(params);
        const inProgress = this.startsInProgress.get(key);
        if (inProgress !== undefined) {
            return inProgress.result;
        }
        const executor = this.findExecutor(params.executorId);
        if (executor?.isListed !== true) {
            return refuseStart("incarnation");
        }
        const reason = executor.startRefusalFor(params.born);
        if (reason !== undefined) {
            return refuseStart(reason);
        }
        const abortController = new AbortController();
        const result = this.retryStart(executor, params, abortController.signal).finally(() => {
            this.startsInProgress.delete(key);
        });
        this.startsInProgress.set(key, { abortController, result });
        return result;
    }

    async stop(params: StopParams): Promise<StopResult> {
        if (params.epoch !== this.context.controllerEpoch.current) {
            return { kind: "refused", reason: "fence" };
        }
        const executor = this.findExecutor(params.executorId);
        if (executor === undefined) {
            return { kind: "unclear" };
        }
        this.startsInProgress.get(orderKey(params))?.abortController.abort();
        return this.stopUntilAnswered(executor, params);
    }

    private async retryStart(
        executor: ObservedExecutor,
        params: StartParams,
        abandonSignal: AbortSignal,
    ): Promise<StartResult> {
        const { port, controllerEpoch, signal } = this.context;
        const supersededSignal = controllerEpoch.supersededSignal;
        const { executorId, epoch, task, run, payload, checkpoint, ticket, deadlineMs } = params;
        const order = { executorId, fencingToken: epoch, task, run, payload, checkpoint, ticket, deadlineMs };
        const outcome = await this.retryUntilAnswered(executor, {
            send: attemptSignal => port.start(order, attemptSignal),
            timeLeft: () =>
                executor.startRefusalFor(params.born) === undefined ? startTimeLeft(executor, deadlineMs) : 0,
            signals: [abandonSignal, supersededSignal, signal],
            endsIfNotSent: true,
        });
        if (outcome.response?.isOk === true) {
            return { kind: "started", clockMs: executor.clockAtAnswer(outcome.response.value) };
        }
        if (abandonSignal.aborted) {
            return { kind: "abandoned" };
        }
        if (supersededSignal.aborted) {
            return refuseStart("fence");
        }
        const reason = refusalReason(outcome.response) ?? executor.startRefusalFor(params.born)
            ?? (startTimeLeft(executor, deadlineMs) > 0 ? "unhealthy" : "late");
        return mayHaveStarted(outcome) ? this.stopThenRefuse(executor, params, reason) : refuseStart(reason);
    }

    private async stopThenRefuse(
        executor: ObservedExecutor,
        params: RunTarget,
        reason: StartRefusal,
    ): Promise<StartResult> {
        const stopResult = await this.stopUntilAnswered(executor, params);
        return stopResult.kind === "stopped"
            ? refuseStart(reason, stopResult.clockMs)
            : START_RESULT_BY_STOP_FAILURE[stopResult.kind](reason);
    }

    private stopUntilAnswered(executor: ObservedExecutor, params: RunTarget): Promise<StopResult> {
        const key = orderKey(params);
        const inProgress = this.stopsInProgress.get(key);
        if (inProgress !== undefined) {
            return inProgress;
        }
        const result = this.retryStop(executor, params).finally(() => {
            this.stopsInProgress.delete(key);
        });
        this.stopsInProgress.set(key, result);
        return result;
    }

    private async retryStop(
        executor: ObservedExecutor,
        { executorId, epoch, task, run }: RunTarget,
    ): Promise<StopResult> {
        const { port, controllerEpoch, signal } = this.context;
        const supersededSignal = controllerEpoch.supersededSignal;
        const { response } = await this.retryUntilAnswered(executor, {
            send: attemptSignal => port.stop({ executorId, fencingToken: epoch, task, run }, attemptSignal),
            timeLeft: () => executor.isExpired ? 0 : Infinity,
            signals: [supersededSignal, signal],
            endsIfNotSent: false,
        });
        if (response?.isOk === true) {
            return { kind: "stopped", clockMs: executor.clockAtAnswer(response.value) };
        }
        if (supersededSignal.aborted || refusalReason(response) === "fence") {
            return { kind: "refused", reason: "fence" };
        }
        return { kind: "unclear" };
    }

    private async retryUntilAnswered(
        executor: ObservedExecutor,
        options: Omit<RetryOptions, "clock" | "onUnanswered">,
    ): Promise<OrderOutcome> {
        const { clock, logger } = this.context;
        const outcome = await retryOrder({
            ...options,
            clock,
            onUnanswered: () => {
                executor.markUnconfirmed();
                logger.log("debug", "order.unanswered", { executor: executor.executorId });
            },
        });
        if (outcome.response?.isOk !== true) {
            executor.markUnconfirmed();
        }
        return outcome;
    }
}

/** Result of a start whose run may have started, by how the attempt to stop that run failed. */
const START_RESULT_BY_STOP_FAILURE: {
    readonly [Kind in Exclude<StopResult["kind"], "stopped">]: (reason: StartRefusal) => StartResult;
} = {
    refused: () => refuseStart("fence"),
    unclear: () => ({ kind: "unclear" }),
};

/** Time until the deadline, which is given on the executor's clock; 0 if that clock is not known. */
const startTimeLeft = (executor: ObservedExecutor, deadlineMs: Millis): Millis => {
    const now = executor.estimateExecutorClock();
    return now === undefined ? 0 : deadlineMs - now;
};

const refusalReason = (response: OrderResponse | undefined): StartRefusal | undefined =>
    response?.isErr === true ? response.error.reason : undefined;

/**
 * Whether the run may have started, or may still start: from an attempt that was not answered, or from an order that a
 * previous agent process forwarded.
 */
const mayHaveStarted = ({ response, unansweredAttempts }: OrderOutcome): boolean =>
    refusalReason(response) === "old" || unansweredAttempts > 0;
