import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { MemoryStepExecutor } from "@persimmonpitch/standins/memoryStepExecutor.js";
import t from "tap";
import { ControllerFixture } from "./controllerFixture.js";

const ORDER_DELAY_MS: Millis = 1_900;
const SETTLE_MS: Millis = 30_000;
const PAYLOAD = JSON.stringify({ runMs: 60_000 });

interface Case {
    readonly name: string;
    /** What happens once the start order was sent; its answer is lost. */
    readonly disrupt: (fixture: ControllerFixture, executor: MemoryStepExecutor) => Promise<void>;
    readonly orderDelayMs?: Millis;
}

const CASES: readonly Case[] = [
    {
        name: "the order arrives after the new incarnation has listed its runs",
        disrupt: async (fixture, executor) => {
            executor.restart();
            await fixture.pass(ORDER_DELAY_MS);
        },
    },
    {
        name: "the executor restarts during a partition, and the order arrives before its first list",
        disrupt: async (fixture, executor) => {
            executor.setFaults({ silent: true });
            fixture.mutedExecutor = executor;
            executor.restart();
            await fixture.pass(800);
            executor.setFaults({ silent: false });
            fixture.mutedExecutor = undefined;
        },
        orderDelayMs: 500,
    },
    {
        name: "nothing listens for a time before the new incarnation",
        disrupt: async (fixture, executor) => {
            executor.crash();
            await fixture.pass(1_000);
            executor.restart();
            await fixture.pass(ORDER_DELAY_MS);
        },
    },
    {
        name: "the agent's process ends while it retries the start",
        disrupt: async (fixture, executor) => {
            executor.restart();
            await fixture.restartAgent();
            await fixture.pass(ORDER_DELAY_MS);
        },
    },
    {
        name: "the executor restarts twice",
        disrupt: async (fixture, executor) => {
            executor.restart();
            await fixture.pass(1_000);
            executor.restart();
            await fixture.pass(ORDER_DELAY_MS);
        },
    },
];

// Guards against a start that takes effect on the next incarnation of an executor, under the same ID, while the
// controller considers the run lost and starts its task again.
for (const { name, disrupt, orderDelayMs = ORDER_DELAY_MS } of CASES) {
    void t.test(`a start without an answer, and a restarted executor: ${name}`, async t => {
        const fixture = new ControllerFixture({ executors: 2, payload: PAYLOAD });
        await fixture.start();
        const executor = fixture.claimedExecutor();
        if (executor === undefined) {
            throw new Error("The run was not claimed.");
        }
        executor.setFaults({ unansweredOrders: 3, orderDelayMs, ordersOutliveRestart: true });
        fixture.answerClaim();
        await fixture.pass(200);
        t.equal(executor.counts.starts, 1, "the order was sent");
        await disrupt(fixture, executor);
        await fixture.pass(SETTLE_MS);
        t.equal(fixture.mostRunsAtOnce, 1, "one run of the task at a time");
        const lastStart = fixture.executors.flatMap(({ starts }) => starts).at(-1);
        t.not(lastStart, undefined, "the task is started");
        await fixture.stop();
    });
}
