import type { Millis } from "@persimmonpitch/clock/clock.js";
import { withTimeout } from "@persimmonpitch/clock/deadline.js";
import type { ControllerToAgentMethods, ExecutorReport } from "@persimmonpitch/protocol/executorMessages.js";
import type { HandlerTable } from "@persimmonpitch/protocol/method.js";
import type { AgentContext } from "./agentContext.js";
import type { AnnouncedIncarnations } from "./announcedIncarnations.js";
import { forwardPace } from "./forwardPace.js";
import type { ObservedExecutor } from "./observedExecutor.js";
import type { OrderForwarder } from "./orderForwarder.js";

/** Dependencies of the handlers for a controller's calls. */
export interface ControllerHandlerContext extends AgentContext {
    readonly executors: ReadonlyMap<string, ObservedExecutor>;
    readonly announcedIncarnations: Pick<AnnouncedIncarnations, "confirmAll">;
    readonly orderForwarder: OrderForwarder;
}

/** Called when the controller of a connection has attached. */
export type OnAttached = (epoch: number, reports: readonly ExecutorReport[]) => void;

/**
 * While a controller attaches, an executor that does not answer within this time is reported without a list, and one that
 * is not confirmed within it is not reported.
 */
const ATTACH_REFRESH_TIMEOUT_MS: Millis = 1_000;

type RefreshContext = Pick<ControllerHandlerContext, "clock" | "executors" | "announcedIncarnations">;

const refreshAll = async ({ clock, executors, announcedIncarnations }: RefreshContext): Promise<void> => {
    const refreshed = new Set<ObservedExecutor>();
    const refreshOthers = async (): Promise<void> => {
        const others = [...executors.values()].filter(executor => !refreshed.has(executor));
        others.forEach(executor => refreshed.add(executor));
        await Promise.all(others.map(executor => executor.refresh()));
    };
    const work = [refreshOthers(), announcedIncarnations.confirmAll().then(refreshOthers)];
    await Promise.all(work.map(part => withTimeout(clock, ATTACH_REFRESH_TIMEOUT_MS, part)));
};

/** Creates the handlers for the methods that an agent serves on a controller's connection. */
export const createControllerHandlers = (
    context: ControllerHandlerContext,
    onAttached: OnAttached,
): HandlerTable<ControllerToAgentMethods> => {
    const { logger, controllerEpoch, executors, orderForwarder } = context;
    return {
        "agent.attach": async ({ epoch }) => {
            if (!controllerEpoch.accept(epoch)) {
                logger.log("warn", "controller.refused", { epoch, highest: controllerEpoch.current });
                return { kind: "refused", epoch: controllerEpoch.current };
            }
            // Once an executor has answered with the new fencing token, it refuses late orders of an older controller.
            await refreshAll(context);
            if (controllerEpoch.current !== epoch) {
                return { kind: "refused", epoch: controllerEpoch.current };
            }
            logger.log("info", "controller.attached", { epoch });
            const reports = [...executors.values()].map(executor => executor.report());
            onAttached(epoch, reports);
            return { kind: "attached", reports };
        },
        "agent.lease": ({ epoch, executorId, ...grant }) => {
            if (epoch !== controllerEpoch.current) {
                return Promise.resolve({ kind: "refused", reason: "fence" });
            }
            const isLeaseApplied = executors.get(executorId)?.applyLease(grant) ?? false;
            return Promise.resolve(isLeaseApplied ? { kind: "accepted" } : { kind: "refused", reason: "incarnation" });
        },
        "agent.start": params => orderForwarder.start(params),
        "agent.stop": params => orderForwarder.stop(params),
        "agent.pace": params => forwardPace(context, params),
    };
};
