import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import { formatSnapshot } from "@persimmonpitch/snapshots/formatSnapshot.js";
import { MemoryRowStore } from "@persimmonpitch/standins/memoryRowStore.js";
import t from "tap";
import { DirectPathHealth } from "../src/directPathHealth.js";
import { ForwardingStore } from "../src/forwardingStore.js";
import { TableFollower } from "../src/tableFollower.js";

t.formatSnapshot = formatSnapshot;

/** Logger that keeps each event with its fields. */
const recordEvents = (events: unknown[]): Logger => ({
    log: (level, event, fields) => {
        events.push({ level, event, ...fields });
    },
    with: () => recordEvents(events),
});

// Guards against a late configuration whose route and routes that failed cannot be told from the log.
void t.test("the log shows each change of the route to the store", async t => {
    const clock = new FakeClock();
    const store = new MemoryRowStore(clock);
    const events: unknown[] = [];
    const forwarding = new ForwardingStore({
        direct: store.client("n1"),
        pathHealth: new DirectPathHealth(clock),
        peers: () => [{ vm: "n2", store: store.client("n2") }],
        clock,
        logger: recordEvents(events),
        name: "operator",
    });
    const scan = async (): Promise<void> => {
        const scanned = forwarding.scan({ from: "", limit: 1 });
        await clock.advance(2_000);
        await scanned;
    };
    await scan();
    store.setFaults({ silent: ["n1", "n2"] });
    await scan();
    store.setFaults({ silent: ["n1"] });
    await scan();
    await scan();
    store.setFaults({ silent: [] });
    await scan();
    t.matchSnapshot(events, "events");
});

// Guards against an outdated entry of which no line says that its poll does not end.
void t.test("the log shows a poll that does not end", async t => {
    const clock = new FakeClock();
    const store = new MemoryRowStore(clock);
    const events: unknown[] = [];
    const follower = new TableFollower({
        name: "operator",
        store: store.client("n1"),
        sink: { reset: () => undefined, apply: () => undefined },
        clock,
        logger: recordEvents(events),
        random: () => 0.5,
    });
    const stop = new AbortController();
    const running = follower.run(stop.signal);
    await clock.advance(5_000);
    t.same(events, [], "while the store answers");
    store.setFaults({ silent: ["n1"], silenceMs: 7_000 });
    await clock.advance(12_000);
    t.matchSnapshot(events, "events");
    store.setFaults({ silent: [] });
    stop.abort();
    await clock.advance(8_000);
    await running;
});
