import type { Executor, Worker } from "@persimmonpitch/backing/worker.js";
import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type {
    AgentIdentity,
    AgentReport,
    EntryToAgentMethods,
    ExecutorLimits,
} from "@persimmonpitch/protocol/agentMessages.js";
import type { HandlerTable } from "@persimmonpitch/protocol/method.js";
import { randomUUID } from "node:crypto";
import type { AgentSettings } from "./agentSettings.js";
import { orderEntries } from "./entryChoice.js";
import type { EntryConnectionContext, OpenLink } from "./entryConnection.js";
import { runEntryConnection } from "./entryConnection.js";
import { LeaseTracker } from "./leaseTracker.js";
import { createOrderHandlers } from "./orderHandlers.js";
import { RecordStore } from "./recordStore.js";
import { RequestHandler } from "./requestHandler.js";
import { holdsResources, TaskTable } from "./taskTable.js";
import { adoptWorkerTasks, runWorkerWatch } from "./workerWatch.js";

/** Everything an agent needs from outside. */
export interface AgentOptions {
    readonly settings: Omit<AgentSettings, "endpointUrl" | "processKey" | "logLevel">;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly worker: Worker;
    readonly executor: Executor;
    readonly openLink: OpenLink;
    readonly random?: () => number;
}

/** Orphaned records sent with one report. */
const MAX_ORPHANS_PER_REPORT = 100;

/** A leaving agent keeps its copies of records until the entries have written theirs, but not through an outage. */
const RECORD_WAIT_MS: Millis = 10_000;

/** Interval at which a leaving agent looks whether its work is done. */
const DRAIN_POLL_MS: Millis = 100;

/** The agent beside one worker or executor. */
export class Agent {
    readonly instanceId = randomUUID();
    readonly table: TaskTable;
    private readonly lease: LeaseTracker;
    private readonly records = new RecordStore();
    private readonly requests: RequestHandler;
    private readonly connected = new Map<string, WakeSignal>();
    private readonly stopController = new AbortController();
    private configVersion = 0;
    private isLeaving = false;

    constructor(private readonly options: AgentOptions) {
        const { settings, clock, logger } = options;
        this.table = new TaskTable(clock, settings);
        this.lease = new LeaseTracker(clock);
        this.requests = new RequestHandler({
            clock,
            logger,
            executor: options.executor,
            records: this.records,
            isLeaving: () => this.isLeaving,
        });
    }

    /** Runs until `shutdown` has finished. */
    async run(): Promise<void> {
        const { settings, clock } = this.options;
        const { signal } = this.stopController;
        const watch = { ...this.options, table: this.table, lease: this.lease, notify: this.notify };
        const order = orderEntries(settings.vmId, settings.dataCentre, settings.entries);
        const context = this.connectionContext(clock);
        if (settings.kind === "worker") {
            await adoptWorkerTasks(watch);
            await Promise.all([runWorkerWatch(watch, signal), runEntryConnection(context, order, signal)]);
            return;
        }
        await Promise.all(order.map(entry => runEntryConnection(context, [entry], signal)));
    }

    /** Takes no new work, finishes what it has, and ends all tasks of the agent. */
    async shutdown(): Promise<void> {
        this.options.logger.log("info", "agent.leaving");
        this.isLeaving = true;
        this.notify();
        while (this.isBusy()) {
            await this.options.clock.sleep(DRAIN_POLL_MS);
        }
        const recordsUntil = this.options.clock.now() + RECORD_WAIT_MS;
        while (this.records.size > 0 && this.options.clock.now() < recordsUntil) {
            await this.options.clock.sleep(DRAIN_POLL_MS);
        }
        this.options.logger.log("info", "agent.left");
        this.stopController.abort();
    }

    /** Ends at once, without waiting for work in progress. */
    kill(): void {
        this.stopController.abort();
    }

    private readonly notify = (): void => {
        this.connected.forEach(wake => {
            wake.wake();
        });
    };

    private isBusy(): boolean {
        return this.requests.inFlight > 0 || this.table.all().some(({ report }) => holdsResources(report.state));
    }

    private identity(): AgentIdentity {
        const { vmId, dataCentre, rack, kind, service, accelerators, cores, memoryMb } = this.options.settings;
        const named = service === undefined ? {} : { service };
        return { vmId, instanceId: this.instanceId, dataCentre, rack, kind, accelerators, cores, memoryMb, ...named };
    }

    private report(full: boolean): AgentReport {
        const changes = this.table.takeChanges();
        const tasks = full ? this.table.all().map(task => task.report) : [...changes.tasks];
        return {
            full,
            leaving: this.isLeaving,
            configVersion: this.configVersion,
            tasks,
            removed: [...changes.removed],
            inFlight: this.requests.inFlight,
            orphanedRecords: [...this.records.orphans(new Set(this.connected.keys()), MAX_ORPHANS_PER_REPORT)],
        };
    }

    private connectionContext(clock: Clock): EntryConnectionContext {
        return {
            clock,
            logger: this.options.logger,
            identity: this.identity(),
            openLink: this.options.openLink,
            random: this.options.random ?? Math.random,
            needsLease: this.options.settings.kind === "worker" && this.options.settings.entries.length > 1,
            handlersFor: entryInstanceId => this.handlers(entryInstanceId),
            fullReport: () => this.report(true),
            deltaReport: () => this.report(false),
            configVersion: () => this.configVersion,
            onConnected: (entryInstanceId, wake) => {
                this.connected.set(entryInstanceId, wake);
            },
            onDisconnected: entryInstanceId => {
                this.connected.delete(entryInstanceId);
            },
            onGrant: (answer, sentAt) => {
                this.lease.accept(answer, sentAt);
                if (answer.limits !== undefined) {
                    this.applyConfig(answer.configVersion, answer.limits);
                }
            },
        };
    }

    /** Applies limits; versions only rise. */
    private applyConfig(version: number, limits: ExecutorLimits): void {
        if (version > this.configVersion) {
            this.configVersion = version;
            this.requests.setLimits(limits);
            this.options.logger.log("info", "config.applied", { version });
        }
    }

    private handlers(entryInstanceId: () => string): HandlerTable<EntryToAgentMethods> {
        const orders = createOrderHandlers({
            instanceId: this.instanceId,
            table: this.table,
            lease: this.lease,
            worker: this.options.worker,
            logger: this.options.logger,
            isLeaving: () => this.isLeaving,
            notify: this.notify,
        });
        return {
            ...orders,
            "request.run": params => this.requests.run(params, entryInstanceId()),
            "request.recorded": ({ requestIds }) => {
                this.records.confirm(requestIds);
                return Promise.resolve({});
            },
            "config.changed": ({ version, limits }) => {
                this.applyConfig(version, limits);
                return Promise.resolve({ version: this.configVersion });
            },
        };
    }
}
