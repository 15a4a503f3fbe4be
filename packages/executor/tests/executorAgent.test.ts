import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { MemoryStepExecutor } from "@persimmonpitch/standins/memoryStepExecutor.js";
import type { StepExecutorOptions } from "@persimmonpitch/standins/stepExecutorOptions.js";
import t from "tap";
import type { TestController } from "./agentWorld.js";
import { AgentWorld } from "./agentWorld.js";

t.formatSnapshot = value => String(value);

interface Case {
    readonly name: string;
    /** The failure that the case guards against. */
    readonly guards: string;
    readonly executors?: readonly Partial<StepExecutorOptions>[];
    readonly run: (scene: Scene) => Promise<void>;
    /** Tasks whose runs the executors accepted, in order. */
    readonly starts?: readonly string[];
}

/** An agent with one or two executors and a controller that has attached. */
interface Scene {
    readonly world: AgentWorld;
    readonly executor: MemoryStepExecutor;
    readonly other: MemoryStepExecutor;
    readonly controller: TestController;
    readonly wait: (duration: Millis) => Promise<void>;
}

const LONG = { isLongRunning: true };

const CASES: readonly Case[] = [
    {
        name: "late order",
        guards: "a task that runs twice because its first order took effect after the second",
        run: async ({ executor, controller, wait }) => {
            executor.setFaults({ unansweredOrders: 1, orderDelayMs: 600 });
            void controller.start(executor, "a", LONG);
            await wait(900);
        },
        starts: ["a"],
    },
    {
        name: "lost answer",
        guards: "a run that the controller takes for refused although it works",
        run: async ({ executor, controller, wait }) => {
            executor.setFaults({ unansweredOrders: 1 });
            void controller.start(executor, "a", LONG);
            await wait(500);
        },
        starts: ["a"],
    },
    {
        name: "deadline passes before an answer",
        guards: "an order that takes effect after its start was reported as refused",
        run: async ({ executor, controller, wait }) => {
            executor.setFaults({ unansweredOrders: 3, orderDelayMs: 1_500 });
            void controller.start(executor, "a", LONG, 700);
            await wait(2_500);
        },
    },
    {
        name: "authority that has ended",
        guards: "a start of a controller that was paused, passed on after another may have taken the role",
        run: async ({ executor, controller, wait }) => {
            await wait(1_000);
            void controller.start(executor, "a", LONG, -1);
            await wait(100);
        },
    },
    {
        name: "refusal after an unanswered try",
        guards: "a first try that takes effect after the second one was refused",
        executors: [{ capacity: { milliCores: 1_000, memoryMb: 0, accelerators: 0 } }],
        run: async ({ executor, controller, wait }) => {
            const work = { demand: { milliCores: 1_000 } };
            executor.setFaults({ unansweredOrders: 1, orderDelayMs: 1_500 });
            void controller.start(executor, "a", work);
            await wait(100);
            void controller.start(executor, "b", work);
            await wait(1_900);
        },
        starts: ["b"],
    },
    {
        name: "stop while a start is repeated",
        guards: "a cancelled task that starts after its stop was answered",
        run: async ({ executor, controller, wait }) => {
            executor.setFaults({ unansweredOrders: 3, orderDelayMs: 1_500 });
            void controller.start(executor, "a", LONG);
            await wait(500);
            void controller.stop(executor, "a");
            await wait(2_000);
        },
    },
    {
        name: "ends are acknowledged up to what is durable",
        guards: "an end that the executor forgets before the controller has written it",
        run: async ({ executor, controller, wait }) => {
            void controller.start(executor, "a", { runMs: 100 });
            void controller.start(executor, "b", { runMs: 150 });
            await wait(300);
            void controller.lease(executor, 1);
            await wait(500);
            void controller.lease(executor, 2);
            await wait(1_200);
        },
        starts: ["a", "b"],
    },
    {
        name: "crash and restart under the same id",
        guards: "an end of the new incarnation that is acknowledged under the number of an old one",
        run: async ({ world, executor, controller, wait }) => {
            void controller.start(executor, "a", { runMs: 100 });
            await wait(200);
            void controller.lease(executor, 1);
            await wait(50);
            executor.restart();
            void executor.start({
                executorId: "e1",
                fence: 1,
                task: "b",
                run: 1,
                payload: JSON.stringify({ runMs: 10 }),
                deadlineMs: 9_000,
            });
            await wait(300);
            world.heartbeat(executor);
            // A lease and a start for the old incarnation are refused.
            void controller.lease(executor, 9, executor.born - 1);
            await wait(300);
        },
        starts: ["a", "b"],
    },
    {
        name: "fence of an older controller",
        guards: "an order of an older controller that takes effect after a newer one has read the lists",
        run: async ({ world, executor, controller, wait }) => {
            executor.setFaults({ unansweredOrders: 2, orderDelayMs: 1_000 });
            void controller.start(executor, "a", LONG);
            await wait(100);
            void world.controller(2).attach();
            await wait(100);
            void controller.attach();
            void controller.lease(executor, 0);
            void controller.start(executor, "b", LONG);
            void controller.stop(executor, "b");
            await wait(1_500);
        },
    },
    {
        name: "executor that does not answer while a controller attaches",
        guards: "a controller that waits for a silent executor, or takes an older list for one under its epoch",
        executors: [{}, { executorId: "e2" }],
        run: async ({ world, executor, controller, wait }) => {
            void controller.start(executor, "a", LONG);
            await wait(100);
            executor.setFaults({ silent: true });
            const next = world.controller(2);
            void next.attach();
            await wait(1_500);
            void next.start(executor, "b", LONG);
            executor.setFaults({ silent: false });
            await wait(1_800);
        },
        starts: ["a"],
    },
    {
        name: "draining executor and its successor",
        guards: "a start on an executor that leaves, or an old executor that hides the new one",
        executors: [{}, { executorId: "e2", born: 2_000 }],
        run: async ({ world, executor, other, controller, wait }) => {
            void controller.start(executor, "a", { runMs: 500 });
            await wait(100);
            executor.drain(2_000);
            world.heartbeat(executor);
            void controller.start(executor, "b", LONG);
            void controller.start(other, "c", LONG);
            await wait(500);
            world.agent.onLeave("e1");
            executor.crash();
            await wait(400);
            void controller.stop(executor, "a");
            await wait(0);
            // The lists of the next minute are left out of the trace.
            const { length } = world.lines;
            await wait(62_000);
            world.lines.length = length;
            void world.controller(2).attach();
            await wait(0);
        },
        starts: ["a", "c"],
    },
    {
        name: "start of an executor that begins to drain",
        guards: "an unanswered start that is repeated on an executor that leaves",
        run: async ({ world, executor, controller, wait }) => {
            executor.setFaults({ unansweredOrders: 1, orderDelayMs: 1_000 });
            void controller.start(executor, "a", LONG);
            await wait(100);
            executor.drain(2_000);
            world.heartbeat(executor);
            await wait(1_200);
        },
    },
    {
        name: "executor that is gone",
        guards: "a lost executor that is reported late, or retries without a pause",
        run: async ({ world, executor, controller, wait }) => {
            void controller.start(executor, "a", LONG);
            await wait(100);
            executor.crash();
            await wait(2_000);
            void controller.start(executor, "b", LONG);
            void controller.stop(executor, "a");
            executor.restart();
            world.heartbeat(executor);
            await wait(100);
        },
        starts: ["a"],
    },
    {
        name: "agent that starts again",
        guards: "runs and ends that are lost with the agent's process",
        run: async ({ world, executor, controller, wait }) => {
            void controller.start(executor, "a", LONG);
            void controller.start(executor, "b", { runMs: 100 });
            await wait(200);
            void world.agent.stop();
            world.newAgent();
            await wait(200);
            const again = world.controller(1);
            void again.attach();
            await wait(100);
            world.heartbeat(executor);
            await wait(300);
        },
        starts: ["a", "b"],
    },
    {
        name: "start that an earlier agent passed on",
        guards: "a run that is taken for refused, so that its task starts again before its end is listed",
        run: async ({ world, executor, controller, wait }) => {
            void controller.start(executor, "a", { runMs: 100 });
            await wait(50);
            void world.agent.stop();
            world.newAgent();
            const again = await world.attached();
            await wait(100);
            void again.start(executor, "a", { runMs: 100 });
            await wait(100);
        },
        starts: ["a"],
    },
    {
        name: "controller that is cut off",
        guards: "a connection that is kept although its controller does not answer",
        run: async ({ controller, wait }) => {
            controller.faults.isCut = () => true;
            await wait(4_000);
        },
    },
    {
        name: "heartbeats out of order",
        guards: "an old heartbeat that undoes a drain or brings back an old incarnation",
        run: async ({ world, executor, wait }) => {
            const early = executor.heartbeat();
            executor.drain(2_000);
            world.heartbeat(executor);
            world.agent.onHeartbeat(early.info, early.sequence);
            await wait(100);
            executor.restart();
            world.heartbeat(executor);
            world.agent.onHeartbeat({ ...early.info, born: early.info.born }, 99);
            await wait(100);
        },
    },
    {
        name: "pace",
        guards: "a pace that is reported as set although the executor refused or never answered it",
        run: async ({ executor, controller, world, wait }) => {
            void controller.start(executor, "a", LONG);
            await wait(100);
            void controller.pace(executor, "a", 20);
            void controller.pace(executor, "b", 20);
            executor.setFaults({ unansweredOrders: 1 });
            void controller.pace(executor, "a", 50);
            await wait(100);
            const newer = await world.attached(2);
            void controller.pace(executor, "a", 100);
            void newer.pace(executor, "a", 10);
            await wait(100);
            executor.setFaults({ gone: true });
            void newer.pace(executor, "a", 0);
            await wait(50);
        },
        starts: ["a"],
    },
];

for (const { name, guards, executors = [{}], run, starts = [] } of CASES) {
    void t.test(`${name} (guards against ${guards})`, async t => {
        const world = new AgentWorld(...executors);
        const [executor, other = executor] = world.executors;
        if (executor === undefined || other === undefined) {
            throw new Error("A case needs an executor.");
        }
        const wait = (duration: Millis) => world.clock.advance(duration);
        await run({ world, executor, other, controller: await world.attached(), wait });
        const accepted = world.executors.flatMap(executor => executor.starts).map(start => start.task);
        t.same(accepted, starts, "only these runs started");
        t.matchSnapshot(world.lines.join("\n"), name);
        await world.agent.stop();
    });
}

void t.test("no call is made before a controller attached, and none without a pause", async t => {
    const world = new AgentWorld({});
    const [executor] = world.executors;
    if (executor === undefined) {
        return;
    }
    world.heartbeat(executor);
    await world.clock.advance(10_000);
    t.equal(world.requests.length, 0, "nothing is called without a fencing token");

    const controller = await world.attached();
    void controller.start(executor, "a", { runMs: 100 });
    await world.clock.advance(100);
    const before = world.requests.length;
    // The end is not durable, so each list answers at once; one call in 200 ms is 50 in 10 s.
    await world.clock.advance(10_000);
    t.ok(world.requests.length - before <= 51, "an end that waits for its acknowledgement causes no spinning");
    t.ok(world.requests.every(({ acknowledgedEnd }) => acknowledgedEnd === 0), "nothing is acknowledged unasked");
    await world.agent.stop();
});
