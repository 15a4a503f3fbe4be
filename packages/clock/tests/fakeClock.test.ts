import t from "tap";
import { FakeClock } from "../src/fakeClock.js";
import { WakeSignal } from "../src/wakeSignal.js";

// Guards against timers that fire out of order, which would make seeded runs differ.
void t.test("timers fire in order of their due time", async t => {
    const clock = new FakeClock();
    const fired: string[] = [];
    const record = async (name: string, delay: number) => {
        await clock.sleep(delay);
        fired.push(`${name}@${clock.now()}`);
    };
    const all = [record("late", 30), record("early", 10), record("middle", 20), record("after", 50)];
    await clock.advance(40);
    t.matchSnapshot(fired);
    await clock.advance(10);
    await Promise.all(all);
    t.matchSnapshot(fired);
});

// Guards against a lost wake: one that arrives while the task is busy must end the next wait.
void t.test("a wake before the wait ends the wait at once", async t => {
    const clock = new FakeClock();
    const signal = new WakeSignal();
    signal.wake();
    await signal.wait(clock, 1_000);
    t.equal(clock.now(), 0);
});
