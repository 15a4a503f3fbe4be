import type { Table } from "@persimmonpitch/backing/table.js";
import { BurnRecorder } from "@persimmonpitch/burn/burnRecorder.js";
import { DEFAULT_OBJECTIVES } from "@persimmonpitch/burn/objective.js";
import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { HistoryBatcher } from "@persimmonpitch/history/historyBatcher.js";
import { InvariantMonitor } from "@persimmonpitch/logging/invariantMonitor.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { Link } from "@persimmonpitch/protocol/link.js";
import { JobStore } from "@persimmonpitch/scheduler/jobStore.js";
import { SchedulingRole } from "@persimmonpitch/scheduler/schedulingRole.js";
import type { Configuration } from "@persimmonpitch/schema/configuration.js";
import type { FastifyInstance } from "fastify";
import { randomUUID } from "node:crypto";
import { Result } from "true-myth";
import { AgentRegistry } from "./agentRegistry.js";
import type { ApiContext } from "./apiContext.js";
import { ConfigStore } from "./configStore.js";
import { DirectRequestDispatcher } from "./directRequestDispatcher.js";
import type { EntrySettings } from "./entrySettings.js";
import { createHttpServer } from "./httpServer.js";
import { serveInboundConnection } from "./inboundConnection.js";
import type { InboundConnectionContext } from "./inboundConnectionContext.js";
import { JobWaiters } from "./jobWaiters.js";
import { LeaseGranter } from "./leaseGranter.js";
import type { OpenPeerLink } from "./peerConnections.js";
import { PeerConnections } from "./peerConnections.js";

/** Settings and dependencies of an entry. */
export interface EntryOptions {
    readonly settings: Pick<
        EntrySettings,
        "id" | "region" | "dataCentre" | "peers" | "bootstrapOperator" | "objectives"
    >;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly table: Table;
    readonly openPeerLink: OpenPeerLink;
    /** Returns a random number from 0 to 1; `Math.random` by default. */
    readonly random?: () => number;
}

const CONFIG_PUSH_TIMEOUT_MS: Millis = 3_000;
const SHUTDOWN_POLL_INTERVAL_MS: Millis = 50;

/** Time added to the timeout of an order for its relay through a peer. */
const RELAY_TIMEOUT_MARGIN_MS: Millis = 50;

/**
 * One entry process. It serves callers, operators, agents and peers, and schedules jobs while it holds the scheduling
 * role.
 */
export class Entry {
    readonly http: FastifyInstance;
    readonly role: SchedulingRole;
    readonly configStore: ConfigStore;
    readonly registry: AgentRegistry;
    private readonly directRequests: DirectRequestDispatcher;
    private readonly peers: PeerConnections;
    private readonly historyBatcher: HistoryBatcher;
    private readonly inboundContext: InboundConnectionContext;
    private readonly jobWaiters: JobWaiters;
    private readonly stopController = new AbortController();
    private readonly inboundLinks = new Set<Link>();
    private readonly monitor: InvariantMonitor;
    private isShuttingDown = false;

    constructor(private readonly options: EntryOptions) {
        const { settings, clock, logger, table, random = Math.random } = options;
        const { id: entryId, region, dataCentre } = settings;
        this.monitor = new InvariantMonitor(logger);
        const commonContext = { entryId, region, clock, logger, random, monitor: this.monitor };
        const { signal } = this.stopController;
        this.configStore = new ConfigStore(table, clock, logger, this.monitor);
        this.registry = new AgentRegistry(clock, async (peerId, agent, method, params, timeoutMs) => {
            const answer = await this.peers.connectionTo(peerId)?.call(
                "peer.order",
                { vmId: agent.vmId, instanceId: agent.instanceId, method, params, timeoutMs },
                timeoutMs + RELAY_TIMEOUT_MARGIN_MS,
            );
            if (answer === undefined || answer.isErr) {
                return Result.err(answer?.error ?? { kind: "notSent", detail: `There is no connection to ${peerId}.` });
            }
            return answer.value.kind === "answered" ? Result.ok(answer.value.result) : Result.err(answer.value);
        });
        const jobStore = new JobStore(table, clock, region);
        this.jobWaiters = new JobWaiters(jobStore, clock);
        this.role = new SchedulingRole({
            ...commonContext,
            table,
            holderId: entryId,
            gateway: this.registry,
            configuration: () => this.configStore.configuration,
            onJobChanged: jobId => {
                this.jobWaiters.notify(jobId);
            },
            onAcquired: () => {
                this.peers.notify();
            },
        });
        const leaseGranter = new LeaseGranter(clock, () => this.role.epoch);
        this.peers = new PeerConnections(
            {
                ...commonContext,
                registry: this.registry,
                leaseGranter,
                configStore: this.configStore,
                openLink: options.openPeerLink,
            },
            settings.peers,
        );
        this.directRequests = new DirectRequestDispatcher({
            clock,
            logger,
            monitor: this.monitor,
            dataCentre,
            slotsPerExecutor: () => this.configStore.configuration?.body.rules.slotsPerExecutor ?? 1,
            connectionsPerExecutor: () => this.configStore.configuration?.body.rules.connectionsPerExecutor ?? 1,
            random,
        }, signal);
        this.historyBatcher = new HistoryBatcher({ table, clock, logger, random });
        this.inboundContext = {
            ...commonContext,
            entryInstanceId: randomUUID(),
            registry: this.registry,
            leaseGranter,
            configStore: this.configStore,
            role: this.role,
            table,
            peerIds: new Set(settings.peers.map(({ id }) => id)),
            onNewHolder: () => {
                this.peers.notify();
            },
        };
        const apiContext: ApiContext = {
            ...commonContext,
            table,
            jobStore,
            role: this.role,
            leaseGranter,
            registry: this.registry,
            peers: this.peers,
            configStore: this.configStore,
            directRequests: this.directRequests,
            historyBatcher: this.historyBatcher,
            jobWaiters: this.jobWaiters,
            burnRecorder: new BurnRecorder(settings.objectives ?? DEFAULT_OBJECTIVES),
            startedAt: clock.now(),
            bootstrapOperator: settings.bootstrapOperator,
            isShuttingDown: () => this.isShuttingDown,
        };
        this.http = createHttpServer(apiContext);
        this.subscribeToChanges();
    }

    /** Runs all tasks of the process until it is shut down or aborted. */
    async run(): Promise<void> {
        const { signal } = this.stopController;
        await Promise.all([
            this.configStore.run(signal),
            this.peers.run(signal),
            this.role.run(signal),
            this.historyBatcher.run(signal),
        ]);
    }

    /** Serves an inbound connection from an agent or entry that has authenticated as `peerName`. */
    serveConnection(link: Link, peerName: string): void {
        this.inboundLinks.add(link);
        void serveInboundConnection(this.inboundContext, link, peerName).then(() => {
            this.inboundLinks.delete(link);
        });
    }

    /**
     * Refuses new requests, completes those in progress, writes their records, releases the role and closes all
     * connections.
     */
    async shutdown(): Promise<void> {
        const { logger, clock } = this.options;
        logger.log("info", "entry.shutdown", { active: this.directRequests.activeRequestCount });
        this.isShuttingDown = true;
        while (this.directRequests.activeRequestCount > 0) {
            await clock.sleep(SHUTDOWN_POLL_INTERVAL_MS);
        }
        await this.http.close();
        if (this.directRequests.activeRequestCount > 0) {
            this.monitor.report("I7", { active: this.directRequests.activeRequestCount });
        }
        await this.historyBatcher.drain();
        this.kill();
    }

    /** Aborts all tasks and closes the inbound connections without waiting for requests in progress. */
    kill(): void {
        this.stopController.abort();
        this.inboundLinks.forEach(link => {
            link.close();
        });
    }

    /** Passes changes of agents and of the configuration on to the components that depend on them. */
    private subscribeToChanges(): void {
        this.registry.onChange((agent, attemptIds) => {
            this.role.notifyAgentChange(attemptIds);
            this.peers.notify();
            const { vmId, kind, service, instanceId, dataCentre } = agent.identity;
            if (kind !== "executor" || service === undefined) {
                return;
            }
            const connectedAgent = this.registry.localConnections().find(({ identity }) => identity.vmId === vmId);
            if (connectedAgent === undefined) {
                this.directRequests.removeExecutor(service, vmId);
            }
            else {
                this.directRequests.updateExecutor(
                    { vmId, instanceId, dataCentre, service, connection: connectedAgent.connection },
                    this.registry.executorLoad(vmId),
                );
            }
        });
        this.configStore.onChange(configuration => {
            this.role.notifyJobChange([]);
            this.peers.notify();
            this.pushConfiguration(configuration);
        });
    }

    /** Pushes the configuration to all connected agents; an agent that misses it receives it in a later answer. */
    private pushConfiguration({ version, body }: Configuration): void {
        const limits = { slots: body.rules.slotsPerExecutor, connections: body.rules.connectionsPerExecutor };
        this.registry.localConnections().forEach(({ connection }) => {
            void connection.call("config.changed", { version, limits }, CONFIG_PUSH_TIMEOUT_MS);
        });
    }
}
