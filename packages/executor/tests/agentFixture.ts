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

const formatReport = ({ executor, isUnreachable, hasLeft, list }: ExecutorReport): string => {
    const flags = [
        ...(executor.isDraining ? ["draining"] : []),
        ...(isUnreachable ? ["unreachable"] : []),
        ...(hasLeft ? ["left"] : []),
    ].join(" ");
    return `${executor.executorId} ${list === undefined ? `born=${executor.born} no list` : formatList(list)} ${flags}`
        .trimEnd();
};

const formatFailure = (failure: ExecutorFailure): string =>
    failure.kind === "refused" ? `refused ${failure.reason}` : failure.kind;

type Params<Name extends keyof ControllerToAgentMethods> = ParamsOf<ControllerToAgentMethods[Name]>;

/** A controller that is connected to the agent, and records and traces what the agent sends to it. */
export class TestController {
    readonly faults: MemoryLinkFaults = { delayMs: () => 0, isPartitioned: () => false };
    readonly reports: ExecutorReport[] = [];
    readonly connection;

    constructor(private readonly fixture: AgentFixture, readonly epoch: number, agent: ExecutorAgent) {
        const [controllerLink, agentLink] = createMemoryLink(fixture.clock, this.faults);
        this.connection = new Connection({
            link: controllerLink,
            clock: fixture.clock,
            local: agentToControllerMethods,
            remote: controllerToAgentMethods,
            handlers: {
                "agent.report": report => {
                    this.reports.push(report);
                    fixture.trace(`c${epoch} < report ${formatReport(report)}`);
                    return Promise.resolve({});
                },
            },
        });
        void this.connection.run();
        void agent.serve(agentLink).then(() => {
            fixture.trace(`c${epoch} closed`);
        });
    }

    async attach(): Promise<void> {
        const response = await this.connection.call("agent.attach", { epoch: this.epoch }, CALL_TIMEOUT_MS);
        const outcome = response.isOk && response.value.kind === "attached"
            ? `attached [${response.value.reports.map(formatReport).join(", ")}]`
            : JSON.stringify(response);
        this.fixture.trace(`c${this.epoch} < attach: ${outcome}`);
    }

    /** The incarnation in the executor's last report to this controller; the executor may have restarted since. */
    lastReportedIncarnation({ executorId, born }: MemoryStepExecutor): number {
        return this.reports.findLast(({ executor }) => executor.executorId === executorId)?.executor.born ?? born;
    }

    lease(executor: MemoryStepExecutor, durableEnd: number, born = this.lastReportedIncarnation(executor)) {
        const { executorId } = executor;
        const deadlineMs = this.fixture.clock.now() + LEASE_MS;
        return this.call("agent.lease", { epoch: this.epoch, executorId, born, deadlineMs, durableEnd }, executorId);
    }

    start(executor: MemoryStepExecutor, task: string, payloadFields: object = {}, leaseMs = LEASE_MS, run = 1) {
        const { executorId } = executor;
        const born = this.lastReportedIncarnation(executor);
        const deadlineMs = this.fixture.clock.now() + leaseMs;
        const payload = JSON.stringify(payloadFields);
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
        target: string,
    ) {
        this.fixture.trace(`c${this.epoch} > ${name} ${target}`);
        const response = await this.connection.call(name, params, CALL_TIMEOUT_MS);
        const result = response.isOk ? JSON.stringify(response.value) : response.error.kind;
        this.fixture.trace(`c${this.epoch} < ${name} ${target}: ${result}`);
        return response;
    }
}

/** An agent with executors and controllers on one fake clock, and a trace of all calls. */
export class AgentFixture {
    readonly clock = new FakeClock();
    readonly traceLines: string[] = [];
    readonly listRequests: ListRequest[] = [];
    /** Addresses that the agent directed its calls to, in order. */
    readonly addresses: string[] = [];
    readonly executors: readonly MemoryStepExecutor[];
    agent: ExecutorAgent;
    /** Called before each list request. */
    onListRequest: (request: ListRequest) => void = () => undefined;

    constructor(...options: readonly Partial<StepExecutorOptions>[]) {
        this.executors = options.map(option =>
            new MemoryStepExecutor({ clock: this.clock, executorId: "e1", born: BORN, ...option })
        );
        this.agent = this.startAgent();
    }

    /** Starts a new agent process, which has no state. */
    startAgent(): ExecutorAgent {
        this.agent = new ExecutorAgent({
            clock: this.clock,
            logger: silentLogger,
            port: this.createTracingPort(),
            random: () => 0.5,
            setAddress: (_executorId, address) => this.addresses.push(address),
        });
        return this.agent;
    }

    trace(line: string): void {
        this.traceLines.push(`${String(this.clock.now()).padStart(5)} ${line}`);
    }

    heartbeat(executor: MemoryStepExecutor): void {
        const { info, sequence } = executor.heartbeat();
        this.agent.onHeartbeat(info, sequence);
    }

    /** Sends a heartbeat of each executor to the agent and attaches a controller. */
    async attachController(epoch = 1): Promise<TestController> {
        this.executors.forEach(executor => {
            this.heartbeat(executor);
        });
        const controller = this.connectController(epoch);
        void controller.attach();
        await this.clock.advance(0);
        return controller;
    }

    connectController(epoch: number): TestController {
        return new TestController(this, epoch, this.agent);
    }

    private createTracingPort(): ExecutorPort {
        const port = routeToExecutors(this.executors);
        const traceResult = <T>(call: string, result: Result<T, ExecutorFailure>, format: (value: T) => string) => {
            this.trace(`    ${call}: ${result.isOk ? format(result.value) : formatFailure(result.error)}`);
            return result;
        };
        return {
            start: async order =>
                traceResult(
                    `start ${order.executorId} ${order.task}#${order.run} fence=${order.fencingToken}`,
                    await port.start(order),
                    () => "ok",
                ),
            stop: async order =>
                traceResult(
                    `stop ${order.executorId} ${order.task}#${order.run} fence=${order.fencingToken}`,
                    await port.stop(order),
                    () => "ok",
                ),
            pace: async order =>
                traceResult(
                    `pace ${order.executorId} ${order.task}#${order.run} ${order.percentage}% fence=${order.fencingToken}`,
                    await port.pace(order),
                    () => "ok",
                ),
            probe: async (request, signal) =>
                traceResult(
                    `probe ${request.executorId} fence=${request.fencingToken}`,
                    await port.probe(request, signal),
                    formatList,
                ),
            list: async (request, signal) => {
                this.listRequests.push(request);
                this.onListRequest(request);
                const { executorId, fencingToken, acknowledgedEnd, waitMs } = request;
                return traceResult(
                    `list ${executorId} fence=${fencingToken} ack=${acknowledgedEnd} wait=${waitMs}`,
                    await port.list(request, signal),
                    formatList,
                );
            },
        };
    }
}
