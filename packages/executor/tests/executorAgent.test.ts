import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { MemoryStepExecutor } from "@persimmonpitch/standins/memoryStepExecutor.js";
import type { StepExecutorOptions } from "@persimmonpitch/standins/stepExecutorOptions.js";
import t from "tap";
import type { TestController } from "./agentFixture.js";
import { AgentFixture } from "./agentFixture.js";

t.formatSnapshot = value => String(value);

interface TestCase {
    readonly name: string;
    readonly guardsAgainst: string;
    readonly executors?: readonly Partial<StepExecutorOptions>[];
    readonly run: (context: TestContext) => Promise<void>;
    /** Tasks whose runs the executors are expected to accept, in order. */
    readonly expectedStarts?: readonly string[];
}

/** An agent with one or two executors and an attached controller. */
interface TestContext {
    readonly fixture: AgentFixture;
    readonly executor: MemoryStepExecutor;
    readonly secondExecutor: MemoryStepExecutor;
    readonly controller: TestController;
    readonly advanceClock: (duration: Millis) => Promise<void>;
}

const LONG_RUNNING = { isLongRunning: true };
const ORDERS_IN_PROGRESS = 12;

const CASES: readonly TestCase[] = [
    {
        name: "delayed order",
        guardsAgainst: "a task that runs twice because its first order takes effect after the retry",
        run: async ({ executor, controller, advanceClock }) => {
            executor.setFaults({ unansweredOrders: 1, orderDelayMs: 600 });
            void controller.start(executor, "a", LONG_RUNNING);
            await advanceClock(900);
        },
        expectedStarts: ["a"],
    },
    {
        name: "lost answer",
        guardsAgainst: "a run that is reported as refused although it is running",
        run: async ({ executor, controller, advanceClock }) => {
            executor.setFaults({ unansweredOrders: 1 });
            void controller.start(executor, "a", LONG_RUNNING);
            await advanceClock(500);
        },
        expectedStarts: ["a"],
    },
    {
        name: "stop while the executor does not answer a start",
        guardsAgainst: "a withdrawn start that the agent sends again, as on an executor of an evacuated data centre",
        run: async ({ executor, controller, advanceClock }) => {
            executor.setFaults({ silent: true });
            void controller.start(executor, "a", LONG_RUNNING);
            await advanceClock(500);
            void controller.stop(executor, "a");
            await advanceClock(100);
            executor.setFaults({ silent: false });
            await advanceClock(2_000);
        },
    },
    {
        name: "deadline passes before an answer",
        guardsAgainst: "a start order that takes effect after it was reported as refused",
        run: async ({ executor, controller, advanceClock }) => {
            executor.setFaults({ unansweredOrders: 3, orderDelayMs: 1_500 });
            void controller.start(executor, "a", LONG_RUNNING, 700);
            await advanceClock(2_500);
        },
    },
    {
        name: "start after its deadline",
        guardsAgainst: "a start from a paused controller that is forwarded after another may have taken the role",
        run: async ({ executor, controller, advanceClock }) => {
            await advanceClock(1_000);
            void controller.start(executor, "a", LONG_RUNNING, -1);
            await advanceClock(100);
        },
    },
    {
        name: "refusal after an unanswered attempt",
        guardsAgainst: "a first attempt that takes effect after the second one was refused",
        executors: [{ capacity: { milliCores: 1_000, memoryMb: 0, accelerators: 0 } }],
        run: async ({ executor, controller, advanceClock }) => {
            const work = { demand: { milliCores: 1_000 } };
            executor.setFaults({ unansweredOrders: 1, orderDelayMs: 1_500 });
            void controller.start(executor, "a", work);
            await advanceClock(100);
            void controller.start(executor, "b", work);
            await advanceClock(1_900);
        },
        expectedStarts: ["b"],
    },
    {
        name: "stop while a start is retried",
        guardsAgainst: "a cancelled task that starts after its stop was answered",
        run: async ({ executor, controller, advanceClock }) => {
            executor.setFaults({ unansweredOrders: 3, orderDelayMs: 1_500 });
            void controller.start(executor, "a", LONG_RUNNING);
            await advanceClock(500);
            void controller.stop(executor, "a");
            await advanceClock(2_000);
        },
    },
    {
        name: "only durable ends are acknowledged",
        guardsAgainst: "an end that the executor discards before the controller has written it",
        run: async ({ executor, controller, advanceClock }) => {
            void controller.start(executor, "a", { runMs: 100 });
            void controller.start(executor, "b", { runMs: 150 });
            await advanceClock(300);
            void controller.lease(executor, 1);
            await advanceClock(500);
            void controller.lease(executor, 2);
            await advanceClock(1_200);
        },
        expectedStarts: ["a", "b"],
    },
    {
        name: "crash and restart under the same id",
        guardsAgainst:
            "an acknowledgement for the old incarnation that is applied to an end of the new one with the same number",
        run: async ({ fixture, executor, controller, advanceClock }) => {
            void controller.start(executor, "a", { runMs: 100 });
            await advanceClock(200);
            void controller.lease(executor, 1);
            await advanceClock(50);
            executor.restart();
            void executor.start({
                executorId: "e1",
                fencingToken: 1,
                task: "b",
                run: 1,
                payload: JSON.stringify({ runMs: 10 }),
                deadlineMs: 9_000,
            });
            await advanceClock(300);
            fixture.heartbeat(executor);
            // A lease for the old incarnation is refused.
            void controller.lease(executor, 9, executor.born - 1);
            await advanceClock(300);
        },
        expectedStarts: ["a", "b"],
    },
    {
        name: "fencing of an older controller",
        guardsAgainst: "an order of an older controller that takes effect after a newer one has read the lists",
        run: async ({ fixture, executor, controller, advanceClock }) => {
            executor.setFaults({ unansweredOrders: 2, orderDelayMs: 1_000 });
            void controller.start(executor, "a", LONG_RUNNING);
            await advanceClock(100);
            void fixture.connectController(2).attach();
            await advanceClock(100);
            void controller.attach();
            void controller.lease(executor, 0);
            void controller.start(executor, "b", LONG_RUNNING);
            void controller.stop(executor, "b");
            await advanceClock(1_500);
        },
    },
    {
        name: "executor that does not answer while a controller attaches",
        guardsAgainst: "an attach that waits for an unresponsive executor, or returns a list from before the new epoch",
        executors: [{}, { executorId: "e2" }],
        run: async ({ fixture, executor, controller, advanceClock }) => {
            void controller.start(executor, "a", LONG_RUNNING);
            await advanceClock(100);
            executor.setFaults({ silent: true });
            const newController = fixture.connectController(2);
            void newController.attach();
            await advanceClock(1_500);
            void newController.start(executor, "b", LONG_RUNNING);
            executor.setFaults({ silent: false });
            await advanceClock(1_800);
        },
        expectedStarts: ["a"],
    },
    {
        name: "draining executor and its successor",
        guardsAgainst: "a start on a leaving executor, or an old executor that is reported in place of its successor",
        executors: [{}, { executorId: "e2", born: 2_000 }],
        run: async ({ fixture, executor, secondExecutor, controller, advanceClock }) => {
            void controller.start(executor, "a", { runMs: 500 });
            await advanceClock(100);
            executor.drain(2_000);
            fixture.heartbeat(executor);
            void controller.start(executor, "b", LONG_RUNNING);
            void controller.start(secondExecutor, "c", LONG_RUNNING);
            await advanceClock(500);
            fixture.agent.onLeave("e1");
            executor.crash();
            await advanceClock(400);
            void controller.stop(executor, "a");
            await advanceClock(0);
            // The list calls of the next minute are left out of the trace.
            const { length } = fixture.traceLines;
            await advanceClock(62_000);
            fixture.traceLines.length = length;
            void fixture.connectController(2).attach();
            await advanceClock(0);
        },
        expectedStarts: ["a", "c"],
    },
    {
        name: "start on an executor that begins to drain",
        guardsAgainst: "an unanswered start that is retried on a draining executor",
        run: async ({ fixture, executor, controller, advanceClock }) => {
            executor.setFaults({ unansweredOrders: 1, orderDelayMs: 1_000 });
            void controller.start(executor, "a", LONG_RUNNING);
            await advanceClock(100);
            executor.drain(2_000);
            fixture.heartbeat(executor);
            await advanceClock(1_200);
        },
    },
    {
        name: "executor that is down",
        guardsAgainst: "an executor failure that is reported late, or retries without a delay",
        run: async ({ fixture, executor, controller, advanceClock }) => {
            void controller.start(executor, "a", LONG_RUNNING);
            await advanceClock(100);
            executor.crash();
            await advanceClock(2_000);
            void controller.start(executor, "b", LONG_RUNNING);
            void controller.stop(executor, "a");
            executor.restart();
            fixture.heartbeat(executor);
            await advanceClock(100);
        },
        expectedStarts: ["a"],
    },
    {
        name: "agent restart",
        guardsAgainst: "runs and ends that are lost when the agent restarts",
        run: async ({ fixture, executor, controller, advanceClock }) => {
            void controller.start(executor, "a", LONG_RUNNING);
            void controller.start(executor, "b", { runMs: 100 });
            await advanceClock(200);
            void fixture.agent.stop();
            fixture.startAgent();
            await advanceClock(200);
            const reattached = fixture.connectController(1);
            void reattached.attach();
            await advanceClock(100);
            fixture.heartbeat(executor);
            await advanceClock(300);
        },
        expectedStarts: ["a", "b"],
    },
    {
        name: "start that a previous agent process forwarded",
        guardsAgainst: "a run that is reported as refused, so that its task starts again before its end is listed",
        run: async ({ fixture, executor, controller, advanceClock }) => {
            void controller.start(executor, "a", { runMs: 100 });
            await advanceClock(50);
            void fixture.agent.stop();
            fixture.startAgent();
            const reattached = await fixture.attachController();
            await advanceClock(100);
            void reattached.start(executor, "a", { runMs: 100 });
            await advanceClock(100);
        },
        expectedStarts: ["a"],
    },
    {
        name: "partitioned controller",
        guardsAgainst: "a connection that stays open although its controller does not answer",
        run: async ({ controller, advanceClock }) => {
            controller.faults.isPartitioned = () => true;
            await advanceClock(4_000);
        },
    },
    {
        name: "out-of-order heartbeats",
        guardsAgainst: "an outdated heartbeat that reverts a drain or restores an old incarnation",
        run: async ({ fixture, executor, advanceClock }) => {
            const outdated = executor.heartbeat();
            executor.drain(2_000);
            fixture.heartbeat(executor);
            fixture.agent.onHeartbeat(outdated.info, outdated.sequence);
            await advanceClock(100);
            executor.restart();
            fixture.heartbeat(executor);
            fixture.agent.onHeartbeat({ ...outdated.info, born: outdated.info.born }, 99);
            await advanceClock(100);
        },
    },
    {
        name: "pace change",
        guardsAgainst: "a pace change that is reported as applied although the executor refused or never answered it",
        run: async ({ executor, controller, fixture, advanceClock }) => {
            void controller.start(executor, "a", LONG_RUNNING);
            await advanceClock(100);
            void controller.pace(executor, "a", 20);
            void controller.pace(executor, "b", 20);
            executor.setFaults({ unansweredOrders: 1 });
            void controller.pace(executor, "a", 50);
            await advanceClock(100);
            const newController = await fixture.attachController(2);
            void controller.pace(executor, "a", 100);
            void newController.pace(executor, "a", 10);
            await advanceClock(100);
            executor.setFaults({ refusesConnections: true });
            void newController.pace(executor, "a", 0);
            await advanceClock(50);
        },
        expectedStarts: ["a"],
    },
];

for (const { name, guardsAgainst, executors = [{}], run, expectedStarts = [] } of CASES) {
    void t.test(`${name} (guards against ${guardsAgainst})`, async t => {
        const fixture = new AgentFixture(...executors);
        const [executor, secondExecutor = executor] = fixture.executors;
        if (executor === undefined || secondExecutor === undefined) {
            throw new Error("A test case needs at least one executor.");
        }
        const advanceClock = (duration: Millis) => fixture.clock.advance(duration);
        await run({ fixture, executor, secondExecutor, controller: await fixture.attachController(), advanceClock });
        const startedTasks = fixture.executors.flatMap(executor => executor.starts).map(start => start.task);
        t.same(startedTasks, expectedStarts, "only these runs started");
        t.matchSnapshot(fixture.traceLines.join("\n"), name);
        await fixture.agent.stop();
    });
}

void t.test("no call is made before a controller attaches, and list calls are rate limited", async t => {
    const fixture = new AgentFixture({});
    const [executor] = fixture.executors;
    if (executor === undefined) {
        return;
    }
    fixture.heartbeat(executor);
    await fixture.clock.advance(10_000);
    t.equal(fixture.listRequests.length, 0, "no call is made without a fencing token");

    const controller = await fixture.attachController();
    void controller.start(executor, "a", { runMs: 100 });
    await fixture.clock.advance(100);
    const requestsBefore = fixture.listRequests.length;
    // The end is not durable, so each list call returns immediately; one call per 200 ms is 50 calls in 10 s.
    await fixture.clock.advance(10_000);
    t.ok(
        fixture.listRequests.length - requestsBefore <= 51,
        "an unacknowledged end does not cause a busy loop",
    );
    t.ok(
        fixture.listRequests.every(({ acknowledgedEnd }) => acknowledgedEnd === 0),
        "no end is acknowledged that the controller did not acknowledge",
    );
    await fixture.agent.stop();
});

// Guards against a warning of a leak, once for each process, when an executor answers many orders late.
void t.test("many orders in progress cause no warning", async t => {
    const warnings: string[] = [];
    const note = ({ message }: Error) => {
        warnings.push(message);
    };
    process.on("warning", note);
    const fixture = new AgentFixture({});
    const controller = await fixture.attachController();
    const [executor] = fixture.executors;
    if (executor === undefined) {
        return;
    }
    executor.setFaults({ unansweredOrders: ORDERS_IN_PROGRESS });
    for (let task = 0; task < ORDERS_IN_PROGRESS; task += 1) {
        void controller.start(executor, `t${task}`, LONG_RUNNING);
    }
    await fixture.clock.advance(200);
    process.off("warning", note);
    t.same(warnings, []);
    await fixture.agent.stop();
});
