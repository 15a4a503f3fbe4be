import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import t from "tap";
import { MemoryGangs } from "../src/memoryGangs.js";
import { MemoryStepExecutor } from "../src/memoryStepExecutor.js";

t.formatSnapshot = value => String(value);

const CLOCK_OFFSET_MS = 500;

/** Two executors whose clocks differ, and the trace of the answers to their calls. */
class ExecutorWorld {
    readonly clock = new FakeClock();
    readonly lines: string[] = [];
    readonly gangs = new MemoryGangs();
    readonly e1 = this.executor("e1", 0);
    readonly e2 = this.executor("e2", CLOCK_OFFSET_MS);

    start(executor: MemoryStepExecutor, task: string, run: number, work: object, extra: object = {}): Promise<void> {
        const deadlineMs = this.clock.now() + 8_000;
        const order = { ...this.target(executor), task, run, payload: JSON.stringify(work), deadlineMs, ...extra };
        return this.trace(`start ${task}#${run}`, executor.start(order));
    }

    stop(executor: MemoryStepExecutor, task: string, run: number, fencingToken = 1): Promise<void> {
        return this.trace(`stop ${task}#${run}`, executor.stop({ ...this.target(executor), fencingToken, task, run }));
    }

    list(executor: MemoryStepExecutor, acknowledgedEnd = 0, extra: object = {}): Promise<void> {
        const request = { ...this.target(executor), acknowledgedEnd, waitMs: 0, ...extra };
        return this.trace(`list ${executor.executorId}`, executor.list(request));
    }

    private target({ executorId }: MemoryStepExecutor) {
        return { executorId, fencingToken: 1 };
    }

    private async trace(call: string, answer: Promise<unknown>): Promise<void> {
        const startedAt = this.clock.now();
        const settled = await answer;
        this.lines.push(`${startedAt}-${this.clock.now()} ${call}: ${JSON.stringify(settled)}`);
    }

    private executor(executorId: string, clockOffsetMs: number): MemoryStepExecutor {
        const { clock, gangs } = this;
        const capacity = { milliCores: 1_000, memoryMb: 0, accelerators: 0 };
        return new MemoryStepExecutor({ clock, executorId, born: 1, gangs, clockOffsetMs, capacity });
    }
}

type Step = (world: ExecutorWorld) => unknown;

/** Calls, each followed by 1,000 ms of time. */
const CASES: Readonly<Record<string, readonly Step[]>> = {
    "progress, checkpoints and ends until they are acknowledged": [
        w => [
            w.start(w.e1, "j.0.0.0", 1, { runMs: 2_500, hasCheckpoints: true }),
            w.start(w.e1, "j.0.1.0", 1, { fails: true }),
        ],
        w => w.list(w.e1),
        w => w.list(w.e1, 1, { waitMs: 1_000 }),
        w => w.list(w.e1, 2),
    ],
    "stop, and resumption from the checkpoint": [
        w => w.start(w.e1, "j.0.0.0", 1, { runMs: 1_900, hasCheckpoints: true }),
        w => [
            w.stop(w.e1, "j.0.0.0", 1),
            w.stop(w.e1, "j.0.0.1", 3),
            w.list(w.e1),
            w.list(w.e1, 0, { waitMs: 1_000 }),
        ],
        w => [
            w.start(w.e1, "j.0.0.0", 1, {}),
            w.start(w.e1, "j.0.0.1", 3, {}),
            w.start(w.e1, "j.0.0.0", 2, { runMs: 1_900, hasCheckpoints: true }, {
                checkpoint: "{\"workMs\":1000}",
            }),
        ],
        w => w.list(w.e1),
    ],
    "refusals, and a repeated start": [
        w => w.start(w.e1, "j.0.0.0", 1, { isLongRunning: true, demand: { milliCores: 600 } }),
        w => w.start(w.e1, "j.0.0.0", 1, {}, { deadlineMs: 0 }),
        w => w.start(w.e1, "j.0.0.1", 1, { demand: { milliCores: 600 } }),
        w => w.start(w.e1, "j.0.0.1", 1, {}, { deadlineMs: 3_000 }),
        w => w.list(w.e1, 0, { fencingToken: 2 }),
        w => [w.start(w.e1, "j.0.0.1", 1, {}), w.stop(w.e1, "j.0.0.0", 1), w.list(w.e1)],
    ],
    "one lease for everything, which only extends": [
        w => w.start(w.e2, "j.0.0.0", 1, { isLongRunning: true }, { deadlineMs: 3_000 }),
        w => w.start(w.e2, "j.0.0.1", 1, { isLongRunning: true }, { deadlineMs: 2_000 }),
        w => w.list(w.e2, 0, { deadlineMs: 0, waitMs: 5_000 }),
    ],
    "gang that ends together": [
        w => w.start(w.e1, "j.0.0.0", 1, { runMs: 1_500, gangSize: 2 }),
        w => [w.start(w.e2, "j.0.0.1", 1, { runMs: 1_500, gangSize: 2 }), w.list(w.e1)],
        w => [w.list(w.e1, 0, { waitMs: 1_000 }), w.list(w.e2, 0, { waitMs: 1_000 })],
    ],
    "gang that breaks with a member's executor, and a member that stays alone": [
        w => [
            w.start(w.e1, "j.0.0.0", 1, { gangSize: 2 }),
            w.start(w.e2, "j.0.0.1", 1, { gangSize: 2, isLongRunning: true }),
        ],
        w => w.start(w.e2, "j.0.0.1", 2, { gangSize: 2 }),
        w => w.start(w.e1, "j.0.0.0", 3, { gangSize: 2, isLongRunning: true }),
        w => w.start(w.e2, "j.0.0.1", 3, { gangSize: 2, isLongRunning: true }),
        w => {
            w.e1.crash();
            return w.list(w.e2, 0, { waitMs: 1_000 });
        },
    ],
    "new incarnation that knows nothing": [
        w => [
            w.start(w.e1, "j.0.0.0", 2, {}, { fencingToken: 5 }),
            w.list(w.e1, 0, { fencingToken: 5, waitMs: 2_000 }),
        ],
        w => {
            w.e1.crash();
            return w.list(w.e1);
        },
        w => {
            w.e1.restart();
            return [w.list(w.e1), w.start(w.e1, "j.0.0.0", 1, { runMs: 100 })];
        },
        w => w.list(w.e1),
    ],
    "orders carried out later, but not by the next incarnation": [
        w => {
            w.e1.setFaults({ unansweredOrders: 2, orderDelayMs: 1_500 });
            return w.start(w.e1, "j.0.0.0", 1, { isLongRunning: true });
        },
        w => w.start(w.e1, "j.0.0.1", 1, { isLongRunning: true }),
        w => {
            void w.list(w.e1);
            w.e1.restart();
        },
        w => w.list(w.e1),
    ],
    "fails all, stands still, slow, gone and silent": [
        w => w.start(w.e1, "j.0.0.0", 1, { runMs: 4_000 }),
        w => {
            w.e1.setFaults({ standsStill: true });
        },
        w => {
            w.e1.setFaults({ standsStill: false, slowFactor: 2 });
        },
        w => {
            w.e1.setFaults({ failAll: true });
            return [w.start(w.e1, "j.0.0.1", 1, {}), w.list(w.e1)];
        },
        w => {
            w.e1.setFaults({ refusesConnections: true });
            return w.list(w.e1);
        },
        w => {
            w.e1.setFaults({ refusesConnections: false, silent: true });
            return w.list(w.e1);
        },
        ...Array.from({ length: 4 }, () => () => undefined),
    ],
};

// Tests of the agent and the controller take these answers for those of the platform's executors.
for (const [name, steps] of Object.entries(CASES)) {
    void t.test(name, async t => {
        const world = new ExecutorWorld();
        for (const step of steps) {
            void step(world);
            await world.clock.advance(1_000);
        }
        t.matchSnapshot(world.lines.join("\n"), name);
    });
}

// A test that drains an executor relies on its heartbeats.
void t.test("heartbeats", t => {
    const { e1 } = new ExecutorWorld();
    const first = e1.heartbeat();
    e1.drain(2_000);
    const second = e1.heartbeat();
    e1.restart();
    t.matchSnapshot([first, second, e1.heartbeat()].map(heartbeat => JSON.stringify(heartbeat)).join("\n"));
    t.end();
});
