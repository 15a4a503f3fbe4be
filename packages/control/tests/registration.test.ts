import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { silentLogger } from "@persimmonpitch/logging/logger.js";
import { MemoryRowStore } from "@persimmonpitch/standins/memoryRowStore.js";
import t from "tap";
import { register } from "../src/registration.js";
import { rowKeys } from "../src/rows.js";

const KEY = rowKeys.entry("n1");

const createFixture = () => {
    const clock = new FakeClock();
    const store = new MemoryRowStore(clock);
    const registerAs = (instanceId: string, signal: AbortSignal): Promise<void> => {
        const row = { vm: "n1", host: "n1", port: 1, dataCentre: "dc1", instanceId };
        const options = { store: store.client("n1"), key: KEY, row, clock, logger: silentLogger, random: () => 0.5 };
        return register(options, signal);
    };
    const registered = () =>
        store.snapshot().map(({ value }) => (JSON.parse(value) as { instanceId: string; }).instanceId);
    return { clock, store, registerAs, registered };
};

// Guards against other entries that take the role from a live controller, because its VM seems to run another process.
void t.test("a registration that takes effect late does not replace that of the next process", async t => {
    const { clock, store, registerAs, registered } = createFixture();
    const killed = new AbortController();
    store.setFaults({ delayCommits: 1, commitDelayMs: 6_000 });
    const earlier = registerAs("first", killed.signal);
    await clock.advance(10);
    killed.abort();
    await earlier;
    void registerAs("second", new AbortController().signal);
    await clock.advance(1_000);
    t.same(registered(), ["second"]);
    await clock.advance(6_000);
    t.same(registered(), ["second"], "after the late write");
});

// Guards against a process that cannot register because a row of an earlier one, or its own late write, is there.
void t.test("a process replaces the registration of an earlier one and recognizes its own", async t => {
    const { clock, store, registerAs, registered } = createFixture();
    const signal = new AbortController().signal;
    void registerAs("first", signal);
    await clock.advance(10);
    store.setFaults({ loseAnswers: 1 });
    const second = registerAs("second", signal);
    await clock.advance(1_000);
    t.same(registered(), ["second"]);
    await second;
    store.setFaults({ down: true });
    void registerAs("third", signal);
    await clock.advance(5_000);
    store.setFaults({ down: false });
    await clock.advance(1_000);
    t.same(registered(), ["third"]);
});
