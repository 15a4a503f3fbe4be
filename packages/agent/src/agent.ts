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
import type { EntryConnectionContext, OpenLink } from "./entryConnection.js";
import { runEntryConnection } from "./entryConnection.js";
import { LeaseTracker } from "./leaseTracker.js";
import { createOrderHandlers } from "./orderHandlers.js";
import { rankEntries } from "./rankEntries.js";
import { RequestHandler } from "./requestHandler.js";
import { holdsResources, TaskTable } from "./taskTable.js";
import { UnconfirmedRecords } from "./unconfirmedRecords.js";
import { adoptWorkerTasks, runWorkerMonitor } from "./workerMonitor.js";

/** Settings and dependencies of an agent. */
export interface AgentOptions {
    readonly settings: Omit<AgentSettings, "endpointUrl" | "processKey" | "logLevel">;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly worker: Worker;
    readonly executor: Executor;
    readonly openLink: OpenLink;
    readonly random?: () => number;
}

/** Limit of orphaned records sent with one report. */
const MAX_ORPHANED_RECORDS_PER_REPORT = 100;

/**
 * How long a leaving agent waits until the entries confirm that its records are durable. The wait is bounded, so that
 * an outage of the entries or the store does not block the shutdown.
 */
const RECORD_CONFIRMATION_TIMEOUT_MS: Millis = 10_000;

/** Interval at which a leaving agent checks whether its work has finished. */
const DRAIN_POLL_INTERVAL_MS: Millis = 100;

/** The agent of one VM. It runs beside the VM's worker or executor. */
export class Agent {
    readonly instanceId = randomUUID();
    readonly taskTable: TaskTable;
    private readonly lease: LeaseTracker;
    private readonly records = new UnconfirmedRecords();
    private readonly requestHandler: RequestHandler;
    private readonly connectedEntries = new Map<string, WakeSignal>();
    private readonly abortController = new AbortController();
    private configVersion = 0;
    private isLeaving = false;

    constructor(private readonly options: AgentOptions) {
        const { settings, clock, logger } = options;
        this.taskTable = new TaskTable(clock, settings);
        this.lease = new LeaseTracker(clock);
        this.requestHandler = new RequestHandler({
            clock,
            logger,
            executor: options.executor,
            records: this.records,
            isLeaving: () => this.isLeaving,
        });
    }

    /** Runs until `shutdown` has finished or `kill` is called. */
    async run(): Promise<void> {
        const { settings, clock } = this.options;
        const { signal } = this.abortController;
        const monitorContext = {
            ...this.options,
            table: this.taskTable,
            lease: this.lease,
            triggerReport: this.triggerReport,
        };
        const rankedEntries = rankEntries(settings.vmId, settings.dataCentre, settings.entries);
        const context = this.createConnectionContext(clock);
        if (settings.kind === "worker") {
            await adoptWorkerTasks(monitorContext);
            await Promise.all([
                runWorkerMonitor(monitorContext, signal),
                runEntryConnection(context, rankedEntries, signal),
            ]);
            return;
        }
        await Promise.all(rankedEntries.map(entry => runEntryConnection(context, [entry], signal)));
    }

    /** Refuses new work, waits until the current work has finished, and stops the agent. */
    async shutdown(): Promise<void> {
        this.options.logger.log("info", "agent.leaving");
        this.isLeaving = true;
        this.triggerReport();
        while (this.hasUnfinishedWork()) {
            await this.options.clock.sleep(DRAIN_POLL_INTERVAL_MS);
        }
        const confirmationDeadline = this.options.clock.now() + RECORD_CONFIRMATION_TIMEOUT_MS;
        while (this.records.size > 0 && this.options.clock.now() < confirmationDeadline) {
            await this.options.clock.sleep(DRAIN_POLL_INTERVAL_MS);
        }
        this.options.logger.log("info", "agent.left");
        this.abortController.abort();
    }

    /** Stops the agent immediately, without waiting for work in progress. */
    kill(): void {
        this.abortController.abort();
    }

    private readonly triggerReport = (): void => {
        this.connectedEntries.forEach(wakeSignal => {
            wakeSignal.wake();
        });
    };

    private hasUnfinishedWork(): boolean {
        return this.requestHandler.inFlight > 0
            || this.taskTable.all().some(({ report }) => holdsResources(report.state));
    }

    private createIdentity(): AgentIdentity {
        const { vmId, dataCentre, rack, kind, service, accelerators, cores, memoryMb } = this.options.settings;
        const serviceField = service === undefined ? {} : { service };
        return {
            vmId,
            instanceId: this.instanceId,
            dataCentre,
            rack,
            kind,
            accelerators,
            cores,
            memoryMb,
            ...serviceField,
        };
    }

    private takeReport(isFull: boolean): AgentReport {
        const changes = this.taskTable.takeChanges();
        const tasks = isFull ? this.taskTable.all().map(task => task.report) : [...changes.tasks];
        return {
            full: isFull,
            leaving: this.isLeaving,
            configVersion: this.configVersion,
            tasks,
            removed: [...changes.removed],
            inFlight: this.requestHandler.inFlight,
            orphanedRecords: [
                ...this.records.orphanedRecords(new Set(this.connectedEntries.keys()), MAX_ORPHANED_RECORDS_PER_REPORT),
            ],
        };
    }

    private createConnectionContext(clock: Clock): EntryConnectionContext {
        return {
            clock,
            logger: this.options.logger,
            identity: this.createIdentity(),
            openLink: this.options.openLink,
            random: this.options.random ?? Math.random,
            failsOverWithoutGrant: this.options.settings.kind === "worker" && this.options.settings.entries.length > 1,
            createHandlers: entryInstanceId => this.createHandlers(entryInstanceId),
            fullReport: () => this.takeReport(true),
            deltaReport: () => this.takeReport(false),
            configVersion: () => this.configVersion,
            onConnected: (entryInstanceId, wakeSignal) => {
                this.connectedEntries.set(entryInstanceId, wakeSignal);
            },
            onDisconnected: entryInstanceId => {
                this.connectedEntries.delete(entryInstanceId);
            },
            onGrant: (answer, sentAt) => {
                this.lease.applyGrant(answer, sentAt);
                if (answer.limits !== undefined) {
                    this.applyConfig(answer.configVersion, answer.limits);
                }
            },
        };
    }

    /** Applies the limits of a newer configuration version; older versions are ignored. */
    private applyConfig(version: number, limits: ExecutorLimits): void {
        if (version > this.configVersion) {
            this.configVersion = version;
            this.requestHandler.setLimits(limits);
            this.options.logger.log("info", "config.applied", { version });
        }
    }

    private createHandlers(entryInstanceId: () => string): HandlerTable<EntryToAgentMethods> {
        const orderHandlers = createOrderHandlers({
            instanceId: this.instanceId,
            table: this.taskTable,
            lease: this.lease,
            worker: this.options.worker,
            logger: this.options.logger,
            isLeaving: () => this.isLeaving,
            triggerReport: this.triggerReport,
        });
        return {
            ...orderHandlers,
            "request.run": params => this.requestHandler.run(params, entryInstanceId()),
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
