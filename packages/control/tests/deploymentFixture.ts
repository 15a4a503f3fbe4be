import type { Millis } from "@persimmonpitch/clock/clock.js";
import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { ExecutorAgent } from "@persimmonpitch/executor/executorAgent.js";
import type { ExecutorPort, ListRequest } from "@persimmonpitch/executor/executorPort.js";
import { limitOrders } from "@persimmonpitch/executor/limitOrders.js";
import type { OrderLimits } from "@persimmonpitch/executor/limitOrders.js";
import type { LogFields, Logger } from "@persimmonpitch/logging/logger.js";
import { silentLogger } from "@persimmonpitch/logging/logger.js";
import type { Link } from "@persimmonpitch/protocol/link.js";
import { createMemoryLink } from "@persimmonpitch/protocol/memoryLink.js";
import { routeToExecutors } from "@persimmonpitch/standins/executorRouter.js";
import type { MemoryAdvice } from "@persimmonpitch/standins/memoryAdvice.js";
import { MemoryGangs } from "@persimmonpitch/standins/memoryGangs.js";
import { MemoryRowStore } from "@persimmonpitch/standins/memoryRowStore.js";
import { MemoryStepExecutor } from "@persimmonpitch/standins/memoryStepExecutor.js";
import type { StepExecutorOptions } from "@persimmonpitch/standins/stepExecutorOptions.js";
import type { AdvicePolicy } from "@persimmonpitch/workload/clusterConfig.js";
import type { ClusterConfig } from "@persimmonpitch/workload/clusterConfig.js";
import { clusterConfigSchema, queueSchema } from "@persimmonpitch/workload/clusterConfig.js";
import type { ExecutorInfo, RunEnd, RunList } from "@persimmonpitch/workload/executorReport.js";
import { progressRowSchema } from "@persimmonpitch/workload/progressRow.js";
import type { StepJob } from "@persimmonpitch/workload/stepJob.js";
import { stepJobSchema, submissionSchema } from "@persimmonpitch/workload/stepJob.js";
import type { ChangedRow } from "@persimmonpitch/workload/storedRow.js";
import { parseTaskName, taskKey, taskName } from "@persimmonpitch/workload/taskName.js";
import { timingsSchema } from "@persimmonpitch/workload/timings.js";
import { Result } from "true-myth";
import { combinedSink } from "../src/combinedSink.js";
import { ConfigHolder } from "../src/configHolder.js";
import type { ConnectLink } from "../src/controllerContext.js";
import { ControlNode } from "../src/controlNode.js";
import { EvacuationHolder } from "../src/evacuationHolder.js";
import { parseRow } from "../src/parseRow.js";
import type { RoleRow } from "../src/rows.js";
import { roleRowSchema, rowKeys } from "../src/rows.js";
import type { RowStore } from "../src/rowStore.js";
import type { RowSink } from "../src/tableFollower.js";
import { PausableProcess } from "./pausableProcess.js";

/** A run as observed at the executors and in their lists. */
export interface ObservedRun {
    readonly task: string;
    readonly run: number;
    readonly executorId: string;
    readonly born: number;
    readonly startedAt: Millis;
    endedAt: Millis | undefined;
    kind: RunEnd["kind"] | "crashed" | undefined;
    /** Number of its end in the lists of its incarnation. */
    endNumber: number | undefined;
    acknowledgedAt: Millis | undefined;
}

const QUEUE = { name: "q", host: "q.example", pathPrefix: "/", service: "steps", priority: 1, maxAttempts: 2 } as const;
const CONFIG = {
    version: 1,
    teams: [],
    services: [{ name: "steps", enforcesCapacity: true, isStandby: false, maxConnections: 64 }],
    maxBodyBytes: 262_144,
};
const STEP_MS: Millis = 100;
/** Higher than the sequence number of any heartbeat of the executors. */
const FOREIGN_SEQUENCE = 1_000_000;

const addressOf = (executorId: string): string => `${executorId}:8080`;

export interface DeploymentOptions {
    /** Makes the queue require advice, which the entries get from this service. */
    readonly advice?: (clock: FakeClock) => MemoryAdvice;
    readonly policy?: AdvicePolicy;
    /** Processors of the VMs of the entries, in cores. */
    readonly cores?: Readonly<Record<string, number>>;
    /** Whether the controller publishes the load. */
    readonly publishesLoad?: () => boolean;
    /** Names of the queues; by default, there is one. */
    readonly queues?: readonly string[];
    /** Data centres of the executors, by name; by default, "dc1". */
    readonly dataCentres?: Readonly<Record<string, string>>;
    /** Limits of the agents on orders that are under way; by default, none. */
    readonly orderLimits?: OrderLimits;
}

/** A line that an entry logged. */
export interface LogLine extends LogFields {
    readonly entry: string;
    readonly event: string;
}

/** A queue of the fixture; it differs from the others in its name and in the given fields. */
export const queueOf = (name: string, change: object = {}): ClusterConfig["queues"][number] =>
    queueSchema.parse({ ...QUEUE, name, slackFactor: 3, targetLatencyMs: 0, isPublic: true, ...change });

/** Key of the operator's configuration, which shares the table of the other rows here. */
const CONFIG_KEY = "config";

const operatorSink = (config: ConfigHolder): RowSink => {
    const apply = (rows: readonly ChangedRow[]) => {
        for (const { key, value } of rows) {
            if (key === CONFIG_KEY && value !== undefined) {
                config.applyIfNewer(clusterConfigSchema.parse(JSON.parse(value)));
            }
        }
    };
    return { reset: apply, apply };
};

const EVACUATION_PREFIX = "evacuate/";

/** Maps the evacuation rows as the platform does. */
const evacuationRows = (evacuation: EvacuationHolder): RowSink => {
    const changesOf = (rows: readonly ChangedRow[]) =>
        rows.filter(({ key }) => key.startsWith(EVACUATION_PREFIX)).map(({ key, value, version }) => ({
            dataCentre: key.slice(EVACUATION_PREFIX.length),
            isEvacuated: value !== undefined,
            version,
        }));
    return {
        reset: (rows, version) => {
            evacuation.replaceIfNewer({ version, dataCentres: changesOf(rows).map(({ dataCentre }) => dataCentre) });
        },
        apply: rows => {
            evacuation.apply(changesOf(rows));
        },
    };
};

/** Control nodes, agents and executors on one fake clock and one in-memory store. */
export class Deployment {
    readonly clock = new FakeClock();
    readonly store = new MemoryRowStore(this.clock);
    readonly executors = new Map<string, MemoryStepExecutor>();
    readonly nodes = new Map<string, ControlNode>();
    readonly configs = new Map<string, ConfigHolder>();
    readonly evacuations = new Map<string, EvacuationHolder>();
    /** What the entries logged at level "info" and above. */
    readonly logLines: LogLine[] = [];
    readonly runs: ObservedRun[] = [];
    /** When the outcome of each job was first seen in the store. */
    readonly endedJobs = new Map<string, Millis>();
    /** Ends that were acknowledged before their row was in the store. */
    readonly earlyAcknowledgements: string[] = [];
    /** Partitioned hosts, and pairs of hosts as "FROM-TO", whose frames are dropped. */
    readonly partitioned = new Set<string>();
    /** Entries to which the store does not answer calls for the operator table. */
    readonly withoutOperatorTable = new Set<string>();
    /** Entries to which the store tells no changes of the operator table. */
    readonly withoutOperatorChanges = new Set<string>();
    private readonly agents = new Map<string, ExecutorAgent>();
    private readonly refusingNodes = new Set<string>();
    /** The address to which the agents direct the calls for each executor. */
    private readonly addresses = new Map<string, string>();
    private readonly processes = new Map<string, PausableProcess>();
    private readonly links = new Map<string, Set<Link>>();
    /** Number of starts and ends already recorded for each executor. */
    private readonly recordedCounts = new Map<string, { starts: number; ends: number; }>();
    private readonly units = new Map<string, string>();
    private instances = 0;
    readonly advice: MemoryAdvice | undefined;

    constructor(
        nodes: readonly string[],
        executors: readonly string[],
        private readonly options: DeploymentOptions = {},
    ) {
        this.advice = options.advice?.(this.clock);
        const gangs = new MemoryGangs();
        executors.forEach(name => {
            this.executors.set(
                name,
                new MemoryStepExecutor({
                    clock: this.clock,
                    executorId: name,
                    born: 1_000,
                    gangs,
                    address: addressOf(name),
                    dataCentre: this.options.dataCentres?.[name] ?? "dc1",
                    ...this.ticketCheck(),
                }),
            );
            this.startAgent(name);
        });
        nodes.forEach(name => {
            this.startNode(name);
        });
    }

    startNode(name: string): ControlNode {
        this.instances += 1;
        const config = new ConfigHolder(silentLogger);
        this.configs.set(name, config);
        const logger = this.recordingLogger(name);
        const evacuation = new EvacuationHolder(logger);
        this.evacuations.set(name, evacuation);
        const { policy: advice, queues = [QUEUE.name] } = this.options;
        config.applyIfNewer({
            ...CONFIG,
            queues: queues.map(name => queueOf(name, advice === undefined ? {} : { advice })),
        });
        const process = new PausableProcess(this.clock);
        this.processes.set(name, process);
        const store = process.store(this.store.client(name));
        const cores = this.options.cores?.[name];
        const node = new ControlNode({
            self: {
                vm: name,
                host: name,
                port: 1,
                dataCentre: "dc1",
                instanceId: `${name}-${this.instances}`,
                ...(cores === undefined ? {} : { cores }),
            },
            stores: { state: store, operator: this.operatorStore(name, store) },
            operatorRows: combinedSink([operatorSink(config), evacuationRows(evacuation)]),
            config,
            evacuation,
            timings: timingsSchema.parse({}),
            clock: process,
            logger,
            connect: process.connect(this.connectFrom(name)),
            random: () => 0.5,
            advice: this.advice,
            publishesLoad: this.options.publishesLoad,
        });
        this.nodes.set(name, node);
        void node.run();
        return node;
    }

    process(name: string): PausableProcess {
        const process = this.processes.get(name);
        if (process === undefined) {
            throw new Error(`Unknown entry ${name}.`);
        }
        return process;
    }

    /** Kills the process of an entry, which resets its connections. */
    killNode(name: string): void {
        this.nodes.get(name)?.stop();
        this.nodes.delete(name);
        this.resetConnections(name);
    }

    /** Resets and refuses the connections between an entry and the others for a time, while all of them work on. */
    async refuseConnections(name: string, duration: Millis): Promise<void> {
        this.refusingNodes.add(name);
        this.resetConnections(name);
        await this.advance(duration);
        this.refusingNodes.delete(name);
    }

    startAgent(name: string): void {
        const agent = new ExecutorAgent({
            clock: this.clock,
            logger: silentLogger,
            port: this.recordedPort(name),
            random: () => 0.5,
            setAddress: (executorId, address) => this.addresses.set(executorId, address),
        });
        this.agents.set(name, agent);
        const row = { vm: name, host: name, port: 1, dataCentre: "dc1", instanceId: name };
        void this.store.client(name).commit({ puts: [{ key: rowKeys.agent(name), value: JSON.stringify(row) }] });
    }

    async killAgent(name: string): Promise<void> {
        const agent = this.agents.get(name);
        this.agents.delete(name);
        this.resetConnections(name);
        await agent?.stop();
    }

    crash(name: string): void {
        this.recordRuns();
        this.executor(name).crash();
        this.runs.filter(run => run.executorId === name && run.endedAt === undefined).forEach(run => {
            run.endedAt = this.clock.now();
            run.kind = "crashed";
        });
    }

    /** Sends a heartbeat to the agent of a VM that another process than its executor has written. */
    announceForeign(vm: string, heartbeat: Partial<ExecutorInfo>): void {
        this.agents.get(vm)?.onHeartbeat({ ...this.executor(vm).info(), ...heartbeat }, FOREIGN_SEQUENCE);
    }

    /** Has an executor deregister and end. */
    leave(name: string): void {
        this.agents.get(name)?.onLeave(name, this.executor(name).born);
        this.crash(name);
    }

    executor(name: string): MemoryStepExecutor {
        const executor = this.executors.get(name);
        if (executor === undefined) {
            throw new Error(`Unknown executor ${name}.`);
        }
        return executor;
    }

    /** The entry named in the role row. */
    get controller(): string {
        return this.role?.vm ?? "";
    }

    /** The epoch of the role row. */
    get epoch(): number {
        return this.role?.epoch ?? 0;
    }

    private get role(): RoleRow | undefined {
        const row = this.store.snapshot().find(({ key }) => key === rowKeys.role);
        return row === undefined ? undefined : parseRow(roleRowSchema, row.value);
    }

    /** Writes a job as an entry does. */
    async putJob(
        jobId: string,
        steps: readonly object[],
        work: object,
        client = "test",
        queue: Pick<StepJob, "queue" | "acceptedQueue" | "team"> = {
            queue: QUEUE.name,
            acceptedQueue: queueOf(QUEUE.name),
        },
    ): Promise<void> {
        const job: StepJob = {
            ...submissionSchema.parse({ payload: JSON.stringify(work), steps }),
            ...queue,
            jobId,
            acceptedAt: this.clock.now(),
        };
        const key = rowKeys.job(jobId);
        await this.store.client(client).commit({ puts: [{ key, value: JSON.stringify(job) }] });
    }

    async putRow(key: string, value: string): Promise<void> {
        await this.store.client("test").commit({ puts: [{ key, value }] });
    }

    /** Writes the row that evacuates a data centre. */
    async evacuate(dataCentre: string): Promise<void> {
        await this.putRow(`${EVACUATION_PREFIX}${dataCentre}`, "");
    }

    /** Removes the row that evacuates a data centre. */
    async endEvacuation(dataCentre: string): Promise<void> {
        await this.store.client("test").commit({ deletes: [`${EVACUATION_PREFIX}${dataCentre}`] });
    }

    /**
     * Writes a configuration that differs from the first one in its version, in the names of its queues, and in the given
     * fields.
     */
    async putConfig(
        version: number,
        queues: readonly string[] = [QUEUE.name],
        change: Partial<ClusterConfig> = {},
    ): Promise<void> {
        await this.putRow(
            CONFIG_KEY,
            JSON.stringify({ ...CONFIG, queues: queues.map(name => queueOf(name)), ...change, version }),
        );
    }

    /** Writes a job of a queue as an entry does, or as an entry of the release before that stored its queue by name. */
    async putJobOf(queue: string, jobId: string, steps: readonly object[], work: object, isOld = false): Promise<void> {
        await this.putJob(jobId, steps, work, "test", {
            queue,
            ...(isOld ? {} : { acceptedQueue: queueOf(queue) }),
        });
    }

    /** Cancels a job, retrying until the store accepts the row. */
    async cancel(jobId: string): Promise<void> {
        const puts = [{ key: rowKeys.cancel(jobId), value: JSON.stringify({ at: 1 }) }];
        while ((await this.store.client("test").commit({ puts })).isErr) {
            await this.clock.sleep(STEP_MS);
        }
    }

    /** Advances the clock while the executors send heartbeats, and records runs and outcomes. */
    async advance(duration: Millis): Promise<void> {
        const end = this.clock.now() + duration;
        while (this.clock.now() < end) {
            for (const [name, agent] of this.agents) {
                const { info, sequence } = this.executor(name).heartbeat();
                agent.onHeartbeat(info, sequence);
            }
            await this.clock.advance(STEP_MS);
            this.recordRuns();
            this.recordOutcomes();
        }
    }

    outcome(jobId: string): string {
        const row = this.store.snapshot().find(({ key }) => key === rowKeys.run(jobId));
        return (row === undefined ? undefined : parseRow(progressRowSchema, row.value)?.outcome) ?? "none";
    }

    /** Returns the task whose progress counts the ends of this one: the first member of its gang, or itself. */
    unitOf(task: string): string {
        const unit = this.units.get(task) ?? this.findUnit(task);
        this.units.set(task, unit);
        return unit;
    }

    /** Formats the observed runs for a snapshot. */
    trace(): string {
        this.recordRuns();
        return this.runs.map(({ task, run, executorId, startedAt, endedAt, kind }) =>
            `${String(startedAt).padStart(6)} ${task}#${run} on ${executorId}: ${kind ?? "open"} ${endedAt ?? ""}`
                .trimEnd()
        ).join("\n");
    }

    private operatorStore(name: string, store: RowStore): RowStore {
        const unavailable = { kind: "unavailable", detail: "no answer" } as const;
        const isRefused = () => this.withoutOperatorTable.has(name);
        return {
            commit: transaction => store.commit(transaction),
            scan: async range => isRefused() ? Result.err(unavailable) : store.scan(range),
            follow: async (after, waitMs, signal) => {
                if (this.withoutOperatorChanges.has(name)) {
                    await this.clock.sleep(waitMs, signal);
                    return Result.ok({ rows: [], version: after, nowMs: this.clock.now() });
                }
                return isRefused() ? Result.err(unavailable) : store.follow(after, waitMs, signal);
            },
        };
    }

    private recordingLogger(entry: string): Logger {
        return {
            log: (level, event, fields) => {
                if (level !== "debug") {
                    this.logLines.push({ ...fields, entry, event });
                }
            },
            with: () => silentLogger,
        };
    }

    private recordOutcomes(): void {
        for (const { key } of this.store.snapshot()) {
            const jobId = key.slice(rowKeys.run("").length);
            const isOpen = key.startsWith(rowKeys.run("")) && !this.endedJobs.has(jobId);
            if (isOpen && this.outcome(jobId) !== "open") {
                this.endedJobs.set(jobId, this.clock.now());
            }
        }
    }

    private ticketCheck(): Pick<StepExecutorOptions, "acceptsTicket"> {
        const { advice } = this;
        return advice === undefined ? {} : { acceptsTicket: order => advice.accepts(order) };
    }

    private recordRuns(): void {
        for (const [name, executor] of this.executors) {
            const recordedCounts = this.recordedCounts.get(name) ?? { starts: 0, ends: 0 };
            executor.starts.slice(recordedCounts.starts).forEach(({ task, run, born, at }) => {
                const seen = { endedAt: undefined, kind: undefined, endNumber: undefined, acknowledgedAt: undefined };
                this.runs.push({ task, run, executorId: name, born, startedAt: at, ...seen });
            });
            executor.allEnds.slice(recordedCounts.ends).forEach(({ task, run, born, at, kind, number }) => {
                const ended = this.runs.findLast(other =>
                    other.executorId === name && other.born === born && other.task === task && other.run === run
                );
                Object.assign(ended ?? {}, { kind, endedAt: at, endNumber: number });
            });
            this.recordedCounts.set(name, { starts: executor.starts.length, ends: executor.allEnds.length });
        }
    }

    private resetConnections(host: string): void {
        this.links.get(host)?.forEach(link => {
            link.close();
        });
        this.links.delete(host);
    }

    private connectFrom(from: string): ConnectLink {
        return async ({ host }, timeoutMs) => {
            const isCut = () => [from, host, `${from}-${host}`].some(part => this.partitioned.has(part));
            if (isCut()) {
                await this.clock.sleep(timeoutMs);
                return Result.err({ isRefused: false, detail: "no answer" });
            }
            const agent = this.agents.get(host);
            const node = this.nodes.get(host);
            const isRefused = [from, host].some(part => this.refusingNodes.has(part) && this.nodes.has(host));
            if (isRefused || (agent === undefined && node === undefined)) {
                return Result.err({ isRefused: true, detail: "refused" });
            }
            const [localLink, remoteLink] = createMemoryLink(this.clock, { delayMs: () => 1, isPartitioned: isCut });
            for (const name of [from, host]) {
                this.links.set(name, (this.links.get(name) ?? new Set()).add(localLink));
            }
            void (agent?.serve(remoteLink) ?? node?.servePeer(this.process(host).link(remoteLink)));
            return Result.ok(localLink);
        };
    }

    private recordedPort(name: string): ExecutorPort {
        const { orderLimits } = this.options;
        const direct = routeToExecutors([this.executor(name)], {
            isReached: target => {
                const address = "address" in target ? target.address : this.addresses.get(target.executorId);
                return (address ?? addressOf(name)) === addressOf(name);
            },
        });
        const port = orderLimits === undefined ? direct : limitOrders(direct, orderLimits);
        return {
            start: (order, signal) => port.start(order, signal),
            stop: (order, signal) => port.stop(order, signal),
            pace: order => port.pace(order),
            list: async (request, signal) => {
                const listed = await port.list(request, signal);
                if (listed.isOk) {
                    this.recordAcknowledgements(name, request, listed.value);
                }
                return listed;
            },
            probe: (request, signal) => port.probe(request, signal),
        };
    }

    private recordAcknowledgements(name: string, { acknowledgedEnd }: ListRequest, { born }: RunList): void {
        this.recordRuns();
        const own = this.runs.filter(run => run.executorId === name && run.born === born);
        const acknowledged = own.filter(run =>
            run.acknowledgedAt === undefined && run.endNumber !== undefined && run.endNumber <= acknowledgedEnd
        );
        for (const run of acknowledged) {
            run.acknowledgedAt = this.clock.now();
            this.checkDurable(run);
        }
    }

    private findUnit(task: string): string {
        const parsed = parseTaskName(task);
        const row = this.store.snapshot().find(({ key }) => key === rowKeys.job(parsed?.jobId ?? ""));
        const steps = (row === undefined ? undefined : parseRow(stepJobSchema, row.value)?.steps) ?? [];
        return parsed !== undefined && steps[parsed.step]?.isGang === true
            ? taskName(parsed.jobId, taskKey({ ...parsed, index: 0 }))
            : task;
    }

    private acknowledgedFailures(unit: string): number {
        const failed = this.runs.filter(({ task, kind, acknowledgedAt }) =>
            kind === "failed" && acknowledgedAt !== undefined && this.unitOf(task) === unit
        );
        return new Set(failed.map(({ run }) => run)).size;
    }

    private checkDurable({ task, run, kind }: ObservedRun): void {
        const { jobId = "", key = "" } = parseTaskName(task) ?? {};
        const row = this.store.snapshot().find(other => other.key === rowKeys.run(jobId));
        const progress = row === undefined ? undefined : parseRow(progressRowSchema, row.value);
        const known = progress?.tasks[key];
        const unit = this.unitOf(task);
        const countedFailures = progress?.tasks[parseTaskName(unit)?.key ?? ""]?.failures ?? 0;
        const isMissed = kind === "done"
            ? known?.isDone !== true
            : kind === "failed" && countedFailures < this.acknowledgedFailures(unit);
        if (known === undefined || (isMissed && progress?.outcome === "open")) {
            this.earlyAcknowledgements.push(`${task}#${run}`);
        }
    }
}
