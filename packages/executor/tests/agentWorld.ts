import type { Millis } from "@persimmonpitch/clock/clock.js";
import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { silentLogger } from "@persimmonpitch/logging/logger.js";
import { Connection } from "@persimmonpitch/protocol/connection.js";
import type { ControllerToAgentMethods, ExecutorReport } from "@persimmonpitch/protocol/executorMessages.js";
import { agentToControllerMethods, controllerToAgentMethods } from "@persimmonpitch/protocol/executorMessages.js";
import type { MemoryLinkFaults } from "@persimmonpitch/protocol/memoryLink.js";
import { createMemoryLink } from "@persimmonpitch/protocol/memoryLink.js";
import type { ParamsOf } from "@persimmonpitch/protocol/method.js";
import { routeToExecutors } from "@persimmonpitch/standins/executorRouter.js";
import { MemoryStepExecutor } from "@persimmonpitch/standins/memoryStepExecutor.js";
import type { StepExecutorOptions } from "@persimmonpitch/standins/stepExecutorOptions.js";
import type { RunList } from "@persimmonpitch/workload/executorReport.js";
import type { Result } from "true-myth";
import { ExecutorAgent } from "../src/executorAgent.js";
import type { ExecutorFailure, ExecutorPort, ListRequest } from "../src/executorPort.js";

const CALL_TIMEOUT_MS: Millis = 20_000;
const LEASE_MS: Millis = 8_000;
const BORN = 1_000;

const formatList = ({ born, running, ends }: RunList): string => {
    const runs = running.map(({ task, run }) => `${task}#${run}`);
    const ended = ends.map(({ number, task, run, kind }) => `${number}:${task}#${run}:${kind}`);
    return `born=${born} running=[${runs.join(" ")}] ends=[${ended.join(" ")}]`;
};

const formatReport = ({ executor, isGone, list }: ExecutorReport): string => {
    const flags = [...(executor.isDraining ? ["draining"] : []), ...(isGone ? ["gone"] : [])].join(" ");
    return `${executor.executorId} ${list === undefined ? `born=${executor.born} no list` : formatList(list)} ${flags}`
        .trimEnd();
};

const formatFailure = (failure: ExecutorFailure): string =>
    failure.kind === "refused" ? `refused ${failure.reason}` : failure.kind;

type Params<Name extends keyof ControllerToAgentMethods> = ParamsOf<ControllerToAgentMethods[Name]>;

/** A controller as the agent sees it. */
export class TestController {
    readonly faults: MemoryLinkFaults = { delayMs: () => 0, isCut: () => false };
    readonly reports: ExecutorReport[] = [];
    readonly connection;

    constructor(private readonly world: AgentWorld, readonly epoch: number, agent: ExecutorAgent) {
        const [here, there] = createMemoryLink(world.clock, this.faults);
        this.connection = new Connection({
            link: here,
            clock: world.clock,
            local: agentToControllerMethods,
            remote: controllerToAgentMethods,
            handlers: {
                "agent.report": report => {
                    this.reports.push(report);
                    world.trace(`c${epoch} < report ${formatReport(report)}`);
                    return Promise.resolve({});
                },
            },
        });
        void this.connection.run();
        void agent.serve(there).then(() => {
            world.trace(`c${epoch} closed`);
        });
    }

    async attach(): Promise<void> {
        const answer = await this.connection.call("agent.attach", { epoch: this.epoch }, CALL_TIMEOUT_MS);
        const text = answer.isOk && answer.value.kind === "attached"
            ? `attached [${answer.value.reports.map(formatReport).join(", ")}]`
            : JSON.stringify(answer);
        this.world.trace(`c${this.epoch} < attach: ${text}`);
    }

    /** The incarnation that the controller knows of, which may have ended. */
    knownBorn({ executorId, born }: MemoryStepExecutor): number {
        return this.reports.findLast(({ executor }) => executor.executorId === executorId)?.executor.born ?? born;
    }

    lease(executor: MemoryStepExecutor, durableEnd: number, born = this.knownBorn(executor)) {
        const { executorId } = executor;
        const deadlineMs = this.world.clock.now() + LEASE_MS;
        return this.call("agent.lease", { epoch: this.epoch, executorId, born, deadlineMs, durableEnd }, executorId);
    }

    start(executor: MemoryStepExecutor, task: string, work: object = {}, leaseMs = LEASE_MS, run = 1) {
        const { executorId } = executor;
        const born = this.knownBorn(executor);
        const deadlineMs = this.world.clock.now() + leaseMs;
        const payload = JSON.stringify(work);
        const params = { epoch: this.epoch, executorId, born, task, run, payload, deadlineMs };
        return this.call("agent.start", params, `${executorId} ${task}#${run}`);
    }

    stop({ executorId }: MemoryStepExecutor, task: string, run = 1) {
        return this.call("agent.stop", { epoch: this.epoch, executorId, task, run }, `${executorId} ${task}#${run}`);
    }

    pace({ executorId }: MemoryStepExecutor, task: string, percentage: number, run = 1) {
        const params = { epoch: this.epoch, executorId, task, run, percentage };
        return this.call("agent.pace", params, `${executorId} ${task}#${run} ${percentage}%`);
    }

    private async call<Name extends keyof ControllerToAgentMethods>(
        name: Name,
        params: Params<Name>,
        text: string,
    ) {
        this.world.trace(`c${this.epoch} > ${name} ${text}`);
        const answer = await this.connection.call(name, params, CALL_TIMEOUT_MS);
        const result = answer.isOk ? JSON.stringify(answer.value) : answer.error.kind;
        this.world.trace(`c${this.epoch} < ${name} ${text}: ${result}`);
        return answer;
    }
}

/** An agent with executors and controllers on one fake clock, and the trace of all calls. */
export class AgentWorld {
    readonly clock = new FakeClock();
    readonly lines: string[] = [];
    readonly requests: ListRequest[] = [];
    readonly executors: readonly MemoryStepExecutor[];
    agent: ExecutorAgent;
    /** Called before each list. */
    onList: (request: ListRequest) => void = () => undefined;

    constructor(...options: readonly Partial<StepExecutorOptions>[]) {
        this.executors = options.map(option =>
            new MemoryStepExecutor({ clock: this.clock, executorId: "e1", born: BORN, ...option })
        );
        this.agent = this.newAgent();
    }

    /** Starts an agent that knows nothing. */
    newAgent(): ExecutorAgent {
        this.agent = new ExecutorAgent({
            clock: this.clock,
            logger: silentLogger,
            port: this.tracedPort(),
            random: () => 0.5,
        });
        return this.agent;
    }

    trace(line: string): void {
        this.lines.push(`${String(this.clock.now()).padStart(5)} ${line}`);
    }

    heartbeat(executor: MemoryStepExecutor): void {
        const { info, sequence } = executor.heartbeat();
        this.agent.onHeartbeat(info, sequence);
    }

    /** A controller that has attached to an agent that knows all executors. */
    async attached(epoch = 1): Promise<TestController> {
        this.executors.forEach(executor => {
            this.heartbeat(executor);
        });
        const controller = this.controller(epoch);
        void controller.attach();
        await this.clock.advance(0);
        return controller;
    }

    controller(epoch: number): TestController {
        return new TestController(this, epoch, this.agent);
    }

    private tracedPort(): ExecutorPort {
        const port = routeToExecutors(this.executors);
        const answered = <T>(text: string, answer: Result<T, ExecutorFailure>, format: (value: T) => string) => {
            this.trace(`    ${text}: ${answer.isOk ? format(answer.value) : formatFailure(answer.error)}`);
            return answer;
        };
        return {
            start: async order =>
                answered(
                    `start ${order.executorId} ${order.task}#${order.run} fence=${order.fence}`,
                    await port.start(order),
                    () => "ok",
                ),
            stop: async order =>
                answered(
                    `stop ${order.executorId} ${order.task}#${order.run} fence=${order.fence}`,
                    await port.stop(order),
                    () => "ok",
                ),
            pace: async order =>
                answered(
                    `pace ${order.executorId} ${order.task}#${order.run} ${order.percentage}% fence=${order.fence}`,
                    await port.pace(order),
                    () => "ok",
                ),
            list: async (request, signal) => {
                this.requests.push(request);
                this.onList(request);
                const { executorId, fence, acknowledgedEnd, waitMs } = request;
                return answered(
                    `list ${executorId} fence=${fence} ack=${acknowledgedEnd} wait=${waitMs}`,
                    await port.list(request, signal),
                    formatList,
                );
            },
        };
    }
}
