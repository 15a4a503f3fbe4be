import t from "tap";
import type { TestController } from "./agentWorld.js";
import { AgentWorld } from "./agentWorld.js";

const SEEDS = Number(process.env["AGENT_SEEDS"] ?? 12);
const STEPS = 300;

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
    const world = new AgentWorld({});
    const [executor] = world.executors;
    if (executor === undefined) {
        return ["no executor"];
    }
    const broken: string[] = [];
    /** For each run that was answered as stopped or refused the time of the answer. */
    const excluded = new Map<number, number>();
    /** For each incarnation the last end that a controller made durable. */
    const durable = new Map<number, number>();
    world.onList = ({ acknowledgedEnd }) => {
        if (acknowledgedEnd > (durable.get(executor.born) ?? 0)) {
            broken.push(`acknowledged end ${acknowledgedEnd} of ${executor.born} is not durable`);
        }
    };
    const controllers: TestController[] = [];
    const connect = (): TestController => {
        const controller = world.controller(controllers.length + 1);
        controller.faults.delayMs = () => 1 + random() * 20;
        controllers.push(controller);
        void controller.attach();
        return controller;
    };
    world.heartbeat(executor);
    let current = connect();
    let run = 0;
    const exclude = (of: number) => {
        excluded.set(of, Math.min(excluded.get(of) ?? Infinity, world.clock.now()));
    };
    const start = async () => {
        run += 1;
        const ordered = run;
        const work = { runMs: random() * 1_500, demand: { accelerators: 5 } };
        const answer = await current.start(executor, "t", work, random() * 2_500, ordered);
        // After a fence the older controller decides nothing any more; the newer one reads the lists.
        if (answer.isOk && answer.value.kind === "refused" && answer.value.reason !== "fence") {
            exclude(ordered);
        }
    };
    const stop = async () => {
        const stopped = run - Math.floor(random() * 3);
        // A run that was never ordered is not stopped either.
        if (stopped < 1) {
            return;
        }
        const answer = await current.stop(executor, "t", stopped);
        if (answer.isOk && answer.value.kind === "stopped") {
            exclude(stopped);
        }
    };
    const lease = async () => {
        const known = current.knownBorn(executor);
        const lists = controllers.flatMap(({ reports }) => reports).flatMap(({ list }) => list ?? []);
        const ends = lists.filter(({ born }) => born === known).flatMap(list => list.ends);
        const durableEnd = Math.max(0, ...ends.map(({ number }) => number));
        durable.set(known, durableEnd);
        await current.lease(executor, durableEnd);
    };
    const heartbeat = () => {
        world.heartbeat(executor);
    };
    const delayOrders = () => {
        executor.setFaults({ unansweredOrders: 1 + Math.floor(random() * 3), orderDelayMs: random() * 2_000 });
    };
    const silence = () => {
        executor.setFaults({ silent: random() < 0.1 });
    };
    const endProcess = () => {
        if (random() < 0.2) {
            executor.restart();
        }
        else if (random() < 0.1) {
            executor.crash();
        }
    };
    const takeOver = () => {
        current = random() < 0.2 ? connect() : current;
    };
    const faults = [delayOrders, silence, endProcess, takeOver];
    const actions: readonly (() => unknown)[] = [start, start, start, stop, lease, lease, heartbeat, ...faults];
    for (let step = 0; step < STEPS; step += 1) {
        void actions[Math.floor(random() * actions.length)]?.();
        await world.clock.advance(random() * 200);
    }
    executor.setFaults({ silent: false });
    await world.clock.advance(10_000);
    const late = executor.starts.filter(({ run: started, at }) => at > (excluded.get(started) ?? Infinity));
    broken.push(...late.map(({ run: started }) => `run ${started} started after it was stopped or refused`));
    await world.agent.stop();
    return executor.starts.length > 0 ? broken : ["nothing was started"];
};

// Guards against orders that take effect after the controller relied on the opposite, and against ends that the
// executor forgets before a controller has written them.
void t.test("orders and acknowledgements under random faults", async t => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
        t.same(await runSeed(seed), [], `seed ${seed}`);
    }
});
