import { Agent } from "@persimmonpitch/agent/agent.js";
import type { Millis } from "@persimmonpitch/clock/clock.js";
import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { Entry } from "@persimmonpitch/entry/entry.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import { silentLogger } from "@persimmonpitch/logging/logger.js";
import type { Link } from "@persimmonpitch/protocol/link.js";
import { createMemoryLink } from "@persimmonpitch/protocol/memoryLink.js";
import type { ConfigurationBody, InventoryVm } from "@persimmonpitch/schema/configuration.js";
import { MemoryExecutor } from "@persimmonpitch/standins/memoryExecutor.js";
import { MemoryTable } from "@persimmonpitch/standins/memoryTable.js";
import { MemoryWorker } from "@persimmonpitch/standins/memoryWorker.js";
import { Result } from "true-myth";
import { PausableClock } from "./pausableClock.js";

/** An entry process in the test's own process. */
interface RunningEntry {
    readonly entry: Entry;
    readonly clock: PausableClock;
    readonly links: Set<Link>;
    isAlive: boolean;
}

interface RunningAgent {
    readonly agent: Agent;
    readonly clock: PausableClock;
}

/** The answer to an HTTP call. */
export interface HttpReply {
    readonly status: number;
    readonly body: unknown;
}

/** What the deployment consists of. */
export interface InProcessOptions {
    readonly body: ConfigurationBody;
    readonly entryIds: readonly string[];
    readonly random: () => number;
    readonly delayMs?: () => Millis;
    readonly logger?: Logger;
}

export const REGION = "region-1";
const START_MS: Millis = 10_000;
const STEP_MS: Millis = 250;

/**
 * Real entries and agents in one process, on a fake clock, with links in memory and in-memory stand-ins.
 * Processes can be killed, paused and cut off from each other.
 */
export class InProcessDeployment {
    readonly clock = new FakeClock();
    readonly table = new MemoryTable(this.clock);
    readonly workers = new Map<string, MemoryWorker>();
    readonly executors = new Map<string, MemoryExecutor>();
    /** Every worker and executor there ever was, for what they recorded. */
    readonly allWorkers: MemoryWorker[] = [];
    readonly allExecutors: MemoryExecutor[] = [];
    private readonly entries = new Map<string, RunningEntry>();
    private readonly agents = new Map<string, RunningAgent>();
    private readonly cuts = new Set<string>();
    private readonly logger: Logger;

    constructor(private readonly options: InProcessOptions) {
        this.logger = options.logger ?? silentLogger;
    }

    /** Starts everything and waits until the first holder has learned of all agents. */
    async start(): Promise<void> {
        const { entryIds, body } = this.options;
        entryIds.forEach(id => {
            this.startEntry(id);
        });
        await this.entry(entryIds[0] ?? "").configStore.load(body, 0, "operator");
        body.vms.forEach(vm => {
            this.startAgent(vm);
        });
        await this.clock.advance(START_MS);
    }

    entry(id: string): Entry {
        const running = this.entries.get(id);
        if (running === undefined) {
            throw new Error(`There is no entry ${id}.`);
        }
        return running.entry;
    }

    /** Ids of entries that run. */
    get liveEntries(): readonly string[] {
        return [...this.entries].filter(([, { isAlive }]) => isAlive).map(([id]) => id);
    }

    /** The entry that holds the scheduling role and may act. */
    get holderId(): string | undefined {
        return this.liveEntries.find(id => this.entry(id).role.epoch !== undefined);
    }

    startEntry(id: string): void {
        const clock = new PausableClock(this.clock);
        const links = new Set<Link>();
        const peers = this.options.entryIds.filter(other => other !== id).map(other => ({
            id: other,
            host: "",
            port: 1,
        }));
        const entry = new Entry({
            settings: { id, region: REGION, dataCentre: this.dataCentreOf(id), peers, bootstrapOperator: undefined },
            clock,
            logger: this.logger.with({ entry: id }),
            table: this.table,
            openPeerLink: address => Promise.resolve(this.open(id, address.id)),
            random: this.options.random,
        });
        this.entries.set(id, { entry, clock, links, isAlive: true });
        void entry.run();
    }

    /** Ends an entry as SIGKILL does: its connections close and nothing is written. */
    killEntry(id: string): void {
        const running = this.entries.get(id);
        if (running !== undefined) {
            running.isAlive = false;
            running.clock.pause();
            running.entry.kill();
            running.links.forEach(link => {
                link.close();
            });
        }
    }

    /** Stops the process's timers and its part of every link, as SIGSTOP does. */
    pauseEntry(id: string): void {
        this.entries.get(id)?.clock.pause();
    }

    resumeEntry(id: string): void {
        this.entries.get(id)?.clock.resume();
    }

    startAgent(vm: InventoryVm): void {
        const clock = new PausableClock(this.clock);
        const { id: vmId, rack, dataCentre, kind, service, accelerators, cores, memoryMb } = vm;
        const worker = this.workers.get(vmId) ?? this.createWorker(vm);
        const executor = this.executors.get(vmId) ?? this.createExecutor(vm);
        const entries = this.options.entryIds.map(id => ({
            id,
            host: "",
            port: 1,
            dataCentre: this.dataCentreOf(id),
        }));
        const agent = new Agent({
            settings: { vmId, rack, dataCentre, kind, service, accelerators, cores, memoryMb, entries },
            clock,
            logger: this.logger.with({ vm: vmId }),
            worker,
            executor,
            openLink: address => Promise.resolve(this.open(vmId, address.id)),
            random: this.options.random,
        });
        this.agents.set(vmId, { agent, clock });
        void agent.run();
    }

    /** Ends an agent; its worker goes on until the tasks' leases lapse. */
    killAgent(vmId: string): void {
        const running = this.agents.get(vmId);
        running?.clock.pause();
        running?.agent.kill();
    }

    pauseAgent(vmId: string): void {
        this.agents.get(vmId)?.clock.pause();
    }

    resumeAgent(vmId: string): void {
        this.agents.get(vmId)?.clock.resume();
    }

    /** Shuts an agent down gracefully. */
    drainAgent(vmId: string): Promise<void> {
        return this.agents.get(vmId)?.agent.shutdown() ?? Promise.resolve();
    }

    /** Loses a whole VM: the agent and all its tasks. */
    loseVm(vmId: string): void {
        this.killAgent(vmId);
        this.workers.get(vmId)?.crash();
        this.workers.delete(vmId);
        this.executors.delete(vmId);
    }

    /** Cuts the network between two processes; open links stay open and carry nothing. */
    cut(left: string, right: string): void {
        this.cuts.add(`${left} ${right}`);
        this.cuts.add(`${right} ${left}`);
    }

    heal(): void {
        this.cuts.clear();
    }

    /** Calls the HTTP API of an entry while time moves on. */
    async call(
        entryId: string,
        method: "GET" | "POST" | "PUT",
        url: string,
        token: string,
        payload?: object,
        headers: Readonly<Record<string, string>> = {},
    ): Promise<HttpReply> {
        const running = this.entries.get(entryId);
        if (running?.isAlive !== true) {
            return { status: 0, body: undefined };
        }
        const { http } = running.entry;
        const answer = http.inject({
            method,
            url,
            headers: { authorization: `Bearer ${token}`, ...headers },
            ...(payload === undefined ? {} : { payload }),
        });
        return this.runUntilSettled(answer.then(({ statusCode, body }) => ({
            status: statusCode,
            body: parseBody(body),
        })));
    }

    /** Advances time until `work` has its result; work that sleeps on the fake clock never ends otherwise. */
    async runUntilSettled<T>(work: Promise<T>, limitMs?: Millis): Promise<T> {
        let settled: { readonly value: Promise<T>; } | undefined;
        const settle = () => {
            settled = { value: work };
        };
        work.then(settle, settle);
        return (await this.runUntil(() => settled, limitMs)).value;
    }

    /** Advances time until `probe` returns a value. */
    async runUntil<T>(probe: () => T | undefined, limitMs: Millis = 120_000): Promise<T> {
        const deadline = this.clock.now() + limitMs;
        for (;;) {
            const value = probe();
            if (value !== undefined) {
                return value;
            }
            if (this.clock.now() >= deadline) {
                throw new Error(`Nothing happened within ${limitMs} ms.`);
            }
            await this.clock.advance(STEP_MS);
        }
    }

    /** Ends all processes. */
    async stop(): Promise<void> {
        this.agents.forEach(({ agent }) => {
            agent.kill();
        });
        this.liveEntries.forEach(id => {
            this.killEntry(id);
        });
        await this.clock.advance(START_MS);
    }

    private createWorker({ id, accelerators }: InventoryVm): MemoryWorker {
        const worker = new MemoryWorker(this.clock, { vmId: id, accelerators });
        this.workers.set(id, worker);
        this.allWorkers.push(worker);
        return worker;
    }

    private createExecutor({ id }: InventoryVm): MemoryExecutor {
        const executor = new MemoryExecutor(this.clock, id);
        this.executors.set(id, executor);
        this.allExecutors.push(executor);
        return executor;
    }

    private open(from: string, to: string): Result<Link, string> {
        const target = this.entries.get(to);
        const isCut = () => this.cuts.has(`${from} ${to}`) || this.isPaused(from) || this.isPaused(to);
        if (target?.isAlive !== true || isCut()) {
            return Result.err(`${to} cannot be reached.`);
        }
        const delayMs = this.options.delayMs ?? (() => 0);
        const [near, far] = createMemoryLink(this.clock, { delayMs, isPartitioned: isCut });
        target.links.add(far);
        this.entries.get(from)?.links.add(near);
        target.entry.serveConnection(far, from);
        return Result.ok(near);
    }

    private isPaused(id: string): boolean {
        return this.entries.get(id)?.clock.isPaused === true || this.agents.get(id)?.clock.isPaused === true;
    }

    private dataCentreOf(entryId: string): string {
        const dataCentres = [...new Set(this.options.body.vms.map(({ dataCentre }) => dataCentre))].sort();
        return dataCentres[this.options.entryIds.indexOf(entryId) % dataCentres.length] ?? "";
    }
}

const parseBody = (body: string): unknown => {
    try {
        return JSON.parse(body);
    }
    catch {
        return body;
    }
};
