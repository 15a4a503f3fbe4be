import type { Clock } from "@persimmonpitch/clock/clock.js";
import { createSharedAbortController } from "@persimmonpitch/clock/createSharedAbortController.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { Link } from "@persimmonpitch/protocol/link.js";
import type { ExecutorInfo } from "@persimmonpitch/workload/executorReport.js";
import type { AgentContext } from "./agentContext.js";
import type { Announcement } from "./announcedIncarnations.js";
import { AnnouncedIncarnations } from "./announcedIncarnations.js";
import type { ControllerConnectionHandle } from "./controllerConnection.js";
import { runControllerConnection } from "./controllerConnection.js";
import { ControllerEpoch } from "./controllerEpoch.js";
import type { ExecutorPort } from "./executorPort.js";
import { ObservedExecutor } from "./observedExecutor.js";
import { OrderForwarder } from "./orderForwarder.js";

export interface ExecutorAgentOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly port: ExecutorPort;
    readonly random?: () => number;
    /** Directs the calls to an executor to the address in its last heartbeat. */
    readonly setAddress?: (executorId: string, address: string) => void;
}

/** The agent for the executors of one VM, where an old executor may drain while its successor starts. */
export class ExecutorAgent {
    private readonly shutdownAbort = createSharedAbortController();
    private readonly openConnections = new Set<ControllerConnectionHandle>();
    /** Executors of which an incarnation has been confirmed. */
    private readonly executors = new Map<string, ObservedExecutor>();
    private readonly announcedIncarnations: AnnouncedIncarnations;
    private readonly tasks = new Set<Promise<void>>();
    private readonly context: AgentContext;
    private readonly orderForwarder: OrderForwarder;

    private readonly setAddress: (executorId: string, address: string) => void;

    constructor(
        { clock, logger, port, random = Math.random, setAddress = () => undefined }: ExecutorAgentOptions,
    ) {
        this.setAddress = setAddress;
        this.context = {
            clock,
            logger,
            port,
            random,
            controllerEpoch: new ControllerEpoch(),
            signal: this.shutdownAbort.signal,
            onReportChange: () => {
                this.openConnections.forEach(({ wake }) => {
                    wake();
                });
            },
        };
        this.announcedIncarnations = new AnnouncedIncarnations(this.context, announcement => {
            this.onConfirmed(announcement);
        });
        this.orderForwarder = new OrderForwarder(this.context, executorId => this.executors.get(executorId));
    }

    /**
     * Applies a heartbeat of an executor; `sequence` increases within an incarnation. One that announces another
     * incarnation than the present one, or another address, takes effect once that is confirmed. An outdated heartbeat,
     * for example one that was delayed until the executor had restarted at another address, has no effect at all.
     */
    onHeartbeat(info: ExecutorInfo, sequence: number): void {
        const knownExecutor = this.executors.get(info.executorId);
        if (knownExecutor?.isOutdated(info, sequence) === true) {
            this.context.logger.log("info", "heartbeat.outdated", {
                executor: info.executorId,
                born: info.born,
                sequence,
            });
            return;
        }
        if (knownExecutor?.isPresentIncarnation(info) === true) {
            knownExecutor.onHeartbeat(info, sequence);
            return;
        }
        void this.trackTask(this.announcedIncarnations.announce({ info, sequence }));
    }

    /** Called when an executor announces that it is leaving; `born` tells its incarnation if it says so. */
    onLeave(executorId: string, born?: number): void {
        const executor = this.executors.get(executorId);
        if (born === undefined || executor?.isEarlierIncarnation(born) !== true) {
            executor?.markLeaving();
        }
    }

    /** Serves a controller until its connection closes. */
    serve(link: Link): Promise<void> {
        const { context, executors, announcedIncarnations, orderForwarder, openConnections } = this;
        return this.trackTask(
            runControllerConnection(
                { ...context, executors, announcedIncarnations, orderForwarder, openConnections },
                link,
            ),
        );
    }

    /** Ends all tasks of the agent; runs on the executors continue. */
    async stop(): Promise<void> {
        this.shutdownAbort.abort();
        // Otherwise a report that is not answered yet would delay the stop until its timeout.
        this.openConnections.forEach(({ close }) => {
            close();
        });
        await Promise.all(this.tasks);
    }

    private onConfirmed({ info, sequence }: Announcement): void {
        const knownExecutor = this.executors.get(info.executorId);
        if (knownExecutor?.isOutdated(info, sequence) === true) {
            return;
        }
        if (info.address !== undefined) {
            this.setAddress(info.executorId, info.address);
        }
        if (knownExecutor !== undefined) {
            knownExecutor.onHeartbeat(info, sequence);
            return;
        }
        const executor = new ObservedExecutor(this.context, info, sequence);
        this.executors.set(info.executorId, executor);
        this.context.logger.log("info", "executor.seen", { executor: info.executorId, born: info.born });
        void this.trackTask(this.runExecutorTask(executor));
        this.context.onReportChange();
    }

    private async runExecutorTask(executor: ObservedExecutor): Promise<void> {
        await executor.run();
        this.executors.delete(executor.executorId);
    }

    private trackTask(task: Promise<void>): Promise<void> {
        const tracked = task.finally(() => {
            this.tasks.delete(tracked);
        });
        this.tasks.add(tracked);
        return tracked;
    }
}
