import type { Millis } from "@persimmonpitch/clock/clock.js";
import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { ConfigHolder } from "@persimmonpitch/control/configHolder.js";
import { Controller } from "@persimmonpitch/control/controller.js";
import { EvacuationHolder } from "@persimmonpitch/control/evacuationHolder.js";
import { Replica } from "@persimmonpitch/control/replica.js";
import { rowKeys } from "@persimmonpitch/control/rows.js";
import type { RowStore } from "@persimmonpitch/control/rowStore.js";
import { ExecutorAgent } from "@persimmonpitch/executor/executorAgent.js";
import { silentLogger } from "@persimmonpitch/logging/logger.js";
import { createMemoryLink } from "@persimmonpitch/protocol/memoryLink.js";
import { routeToExecutors } from "@persimmonpitch/standins/executorRouter.js";
import { MemoryRowStore } from "@persimmonpitch/standins/memoryRowStore.js";
import { MemoryStepExecutor } from "@persimmonpitch/standins/memoryStepExecutor.js";
import { progressRowSchema } from "@persimmonpitch/workload/progressRow.js";
import type { StepJob } from "@persimmonpitch/workload/stepJob.js";
import { stepJobSchema } from "@persimmonpitch/workload/stepJob.js";
import type { RowTransaction } from "@persimmonpitch/workload/storedRow.js";
import { timingsSchema } from "@persimmonpitch/workload/timings.js";
import { Result } from "true-myth";

const VM = "worker-1";
const QUEUE = { name: "q", host: "q.example", pathPrefix: "/", service: "steps", priority: 1, maxAttempts: 2 } as const;
const CONFIG = {
    version: 1,
    queues: [{ ...QUEUE, slackFactor: 3, targetLatencyMs: 0, isPublic: true }],
    teams: [],
    services: [{ name: "steps", enforcesCapacity: true, isStandby: false, maxConnections: 64 }],
    maxBodyBytes: 262_144,
};
const JOB = { jobId: "a", queue: QUEUE.name, acceptedAt: 0 };
const FIRST_BORN = 1_000;
/** Longer than a step, so that a run that is being stopped is seen at work. */
const STOP_MS: Millis = 400;
const ROLE = { vm: "entry-1", instanceId: "entry-1", epoch: 1, isReleased: false };
const STEP_MS: Millis = 100;

const runsAtWork = ({ starts, allEnds, born }: MemoryStepExecutor) =>
    starts.filter(started =>
        started.born === born
        && !allEnds.some(end => end.born === born && end.task === started.task && end.run === started.run)
    );

const writes = ({ puts = [] }: RowTransaction, key: string): boolean => puts.some(put => put.key === key);

export interface ControllerFixtureOptions {
    readonly executors?: number;
    readonly payload?: string;
    /** Tasks of the job. */
    readonly tasks?: number;
    /** Delay of each message between controller and agent. */
    readonly linkDelayMs?: Millis;
}

/** The real controller and one agent with its executors; a test holds back the answer to the claim. */
export class ControllerFixture {
    readonly clock = new FakeClock();
    readonly replica = new Replica(silentLogger);
    readonly executors: readonly MemoryStepExecutor[];
    /** Most runs of the job's only task that were at work at one time. */
    mostRunsAtOnce = 0;
    /** An executor whose heartbeats do not arrive. */
    mutedExecutor: MemoryStepExecutor | undefined;
    /** The store answers no renewal of the term. */
    isTermDown = false;
    private readonly store = new MemoryRowStore(this.clock);
    private readonly job: StepJob;
    private readonly linkDelayMs: Millis;
    private agent: ExecutorAgent;
    private readonly stopped = new AbortController();
    private answer: () => void = () => undefined;
    private readonly answered = new Promise<void>(resolve => {
        this.answer = resolve;
    });

    constructor({ executors = 1, payload = "", tasks = 1, linkDelayMs = 1 }: ControllerFixtureOptions = {}) {
        this.executors = Array.from(
            { length: executors },
            (_, index) =>
                new MemoryStepExecutor({
                    clock: this.clock,
                    executorId: `executor-${index + 1}`,
                    born: FIRST_BORN,
                    stopMs: STOP_MS,
                }),
        );
        this.linkDelayMs = linkDelayMs;
        this.job = stepJobSchema.parse({ ...JOB, payload, steps: [{ count: tasks, demand: {} }] });
        this.agent = this.createAgent();
    }

    /** Starts the controller, and returns once its claim of the job's task is durable and not answered. */
    async start(): Promise<void> {
        const client = this.store.client("entry-1");
        const agentRow = { vm: VM, host: VM, port: 1, dataCentre: "dc1", instanceId: VM };
        const taken = await client.commit({
            puts: [
                { key: rowKeys.role, value: JSON.stringify(ROLE) },
                { key: rowKeys.agent(VM), value: JSON.stringify(agentRow) },
                {
                    key: rowKeys.job("a"),
                    value: JSON.stringify(this.job),
                },
            ],
        });
        this.replica.apply([...this.store.snapshot()]);
        const config = new ConfigHolder(silentLogger);
        config.applyIfNewer(CONFIG);
        const evacuation = new EvacuationHolder(silentLogger);
        evacuation.replaceIfNewer({ version: 1, dataCentres: [] });
        const controller = new Controller({
            evacuation,
            store: this.slowStore(client),
            replica: this.replica,
            config,
            clock: this.clock,
            logger: silentLogger,
            timings: timingsSchema.parse({}),
            connect: () => {
                const [here, there] = createMemoryLink(this.clock, {
                    delayMs: () => this.linkDelayMs,
                    isPartitioned: () => false,
                });
                void this.agent.serve(there);
                return Promise.resolve(Result.ok(here));
            },
            random: () => 0.5,
            storeClockOffsetMs: () => 0,
            announce: () => undefined,
            isIsolated: () => false,
            shouldHandOver: () => false,
        }, {
            epoch: ROLE.epoch,
            rowVersion: taken.isOk ? taken.value.version : 0,
            takenAt: this.clock.now(),
            releaseRow: { ...ROLE, isReleased: true },
        });
        void controller.run(this.stopped.signal);
        while (this.store.snapshot().every(({ key }) => key !== rowKeys.run("a"))) {
            await this.pass(STEP_MS);
        }
    }

    /** Shows the controller that the job is cancelled. */
    cancel(): void {
        this.replica.apply([{ key: rowKeys.cancel("a"), value: JSON.stringify({ at: 0 }), version: 1_000 }]);
    }

    answerClaim(): void {
        this.answer();
    }

    /** The executor on which the durable claim places the run. */
    claimedExecutor(): MemoryStepExecutor | undefined {
        const row = this.store.snapshot().find(({ key }) => key === rowKeys.run("a"));
        const progress = row === undefined ? undefined : progressRowSchema.parse(JSON.parse(row.value));
        const executorId = Object.values(progress?.tasks ?? {})[0]?.placement?.executorId;
        return this.executors.find(executor => executor.executorId === executorId);
    }

    /** The stored outcome of the job. */
    outcome(): string | undefined {
        const row = this.store.snapshot().find(({ key }) => key === rowKeys.run("a"));
        return row === undefined ? undefined : progressRowSchema.parse(JSON.parse(row.value)).outcome;
    }

    /** Replaces the agent by a new process, which knows nothing and starts `downMs` after the old one has ended. */
    async restartAgent(downMs: Millis = 0): Promise<void> {
        await this.agent.stop();
        await this.pass(downMs);
        this.agent = this.createAgent();
    }

    async pass(duration: Millis): Promise<void> {
        for (let passed = 0; passed < duration; passed += STEP_MS) {
            for (const executor of this.executors.filter(other => other !== this.mutedExecutor)) {
                const { info, sequence } = executor.heartbeat();
                this.agent.onHeartbeat(info, sequence);
            }
            await this.clock.advance(STEP_MS);
            this.mostRunsAtOnce = Math.max(this.mostRunsAtOnce, this.executors.flatMap(runsAtWork).length);
        }
    }

    async stop(): Promise<void> {
        this.stopped.abort();
        this.answer();
        await this.agent.stop();
    }

    private createAgent(): ExecutorAgent {
        return new ExecutorAgent({
            clock: this.clock,
            logger: silentLogger,
            port: routeToExecutors(this.executors),
            random: () => 0.5,
        });
    }

    private slowStore(client: RowStore): RowStore {
        return {
            scan: range => client.scan(range),
            follow: (after, waitMs, signal) => client.follow(after, waitMs, signal),
            commit: async transaction => {
                if (this.isTermDown && writes(transaction, rowKeys.term)) {
                    return Result.err({ kind: "unavailable", detail: "The store is down." });
                }
                const outcome = await client.commit(transaction);
                if (writes(transaction, rowKeys.run("a"))) {
                    await this.answered;
                }
                return outcome;
            },
        };
    }
}
