import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { silentLogger } from "@persimmonpitch/logging/logger.js";
import { Connection } from "@persimmonpitch/protocol/connection.js";
import { agentToControllerMethods, controllerToAgentMethods } from "@persimmonpitch/protocol/executorMessages.js";
import { createMemoryLink } from "@persimmonpitch/protocol/memoryLink.js";
import { MemoryStepExecutor } from "@persimmonpitch/standins/memoryStepExecutor.js";
import t from "tap";
import { ExecutorAgent } from "../src/executorAgent.js";
import type { ExecutorPort } from "../src/executorPort.js";

const SEEDS = Number(process.env["AGENT_SEEDS"] ?? 12);
const STEPS = 300;
const CALL_TIMEOUT_MS = 60_000;

/** A linear congruential generator: the same seed gives the same run. */
const createRandom = (seed: number) => {
    let state = seed;
    return () => {
        state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
        return state / 2 ** 32;
    };
};

/** Random orders under random faults; returns what broke a rule. */
const runSeed = async (seed: number): Promise<readonly string[]> => {
    const random = createRandom(seed);
    const clock = new FakeClock();
    const executor = new MemoryStepExecutor({ clock, executorId: "e1", born: 1, clockOffsetMs: 777 });
    const broken: string[] = [];
    /** For each run that was answered as stopped or refused the time of the answer. */
    const excluded = new Map<string, number>();
    /** For each incarnation the last end that a controller was told of, and the last that it made durable. */
    const reported = new Map<number, number>();
    const durable = new Map<number, number>();
    const port: ExecutorPort = {
        start: order => executor.start(order),
        stop: order => executor.stop(order),
        list: (request, signal) => {
            if (request.acknowledgedEnd > (durable.get(executor.born) ?? 0)) {
                broken.push(`acknowledged end ${request.acknowledgedEnd} of ${executor.born} is not durable`);
            }
            return executor.list(request, signal);
        },
    };
    const agent = new ExecutorAgent({ clock, logger: silentLogger, port, random });
    let epoch = 0;
    const connect = () => {
        epoch += 1;
        const [here, there] = createMemoryLink(clock, { delayMs: () => 1 + random() * 20, isCut: () => false });
        const connection = new Connection({
            link: here,
            clock,
            local: agentToControllerMethods,
            remote: controllerToAgentMethods,
            handlers: {
                "agent.report": ({ list }) => {
                    const last = list?.ends.at(-1)?.number ?? 0;
                    if (list !== undefined && last > (reported.get(list.born) ?? 0)) {
                        reported.set(list.born, last);
                    }
                    return Promise.resolve({});
                },
            },
        });
        void connection.run();
        void agent.serve(there);
        void connection.call("agent.attach", { epoch }, CALL_TIMEOUT_MS);
        return { connection, epoch };
    };
    const heartbeat = () => {
        const { info, sequence } = executor.heartbeat();
        agent.onHeartbeat(info, sequence);
    };
    heartbeat();
    let controller = connect();
    let run = 0;
    const target = () => ({ epoch: controller.epoch, executorId: "e1" });
    const deadline = (span: number) => clock.now() + 777 + random() * span;
    const exclude = (key: string) => {
        excluded.set(key, Math.min(excluded.get(key) ?? Infinity, clock.now()));
    };
    const start = async () => {
        run += 1;
        const key = `t#${run}`;
        const payload = JSON.stringify({ runMs: random() * 1_500, demand: { accelerators: 5 } });
        const order = { ...target(), born: executor.born, task: "t", run, payload, deadlineMs: deadline(2_500) };
        const answer = await controller.connection.call("agent.start", order, CALL_TIMEOUT_MS);
        // After a fence the older controller decides nothing any more; the newer one reads the lists.
        if (answer.isOk && answer.value.kind === "refused" && answer.value.reason !== "fence") {
            exclude(key);
        }
    };
    const stop = async () => {
        const stopped = Math.max(1, run - Math.floor(random() * 3));
        const order = { ...target(), task: "t", run: stopped };
        const answer = await controller.connection.call("agent.stop", order, CALL_TIMEOUT_MS);
        if (answer.isOk && answer.value.kind === "stopped") {
            exclude(`t#${stopped}`);
        }
    };
    const lease = async () => {
        const { born } = executor;
        const durableEnd = reported.get(born) ?? 0;
        durable.set(born, durableEnd);
        const grant = { ...target(), born, deadlineMs: deadline(8_000), durableEnd };
        await controller.connection.call("agent.lease", grant, CALL_TIMEOUT_MS);
    };
    const actions: readonly (() => unknown)[] = [
        start,
        start,
        start,
        stop,
        lease,
        lease,
        heartbeat,
        () => {
            executor.setFaults({ unansweredOrders: 1 + Math.floor(random() * 3), orderDelayMs: random() * 2_000 });
        },
        () => {
            executor.setFaults({ silent: random() < 0.1 });
        },
        () => {
            if (random() < 0.2) {
                executor.restart();
            }
            else if (random() < 0.1) {
                executor.crash();
            }
        },
        () => {
            if (random() < 0.2) {
                controller = connect();
            }
        },
    ];
    for (let step = 0; step < STEPS; step += 1) {
        void actions[Math.floor(random() * actions.length)]?.();
        await clock.advance(random() * 200);
    }
    executor.setFaults({ silent: false });
    await clock.advance(10_000);
    for (const { task, run: started, at } of executor.starts) {
        if (at > (excluded.get(`${task}#${started}`) ?? Infinity)) {
            broken.push(`${task}#${started} started after it was answered as stopped or refused`);
        }
    }
    await agent.stop();
    return executor.starts.length > 0 ? broken : ["nothing was started"];
};

// Guards against orders that take effect after the controller relied on the opposite, and against ends that the
// executor forgets before a controller has written them.
void t.test("orders and acknowledgements under random faults", async t => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
        t.same(await runSeed(seed), [], `seed ${seed}`);
    }
});
