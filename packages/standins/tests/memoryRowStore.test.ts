import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import type { RowStore } from "@persimmonpitch/control/rowStore.js";
import type { RowTransaction } from "@persimmonpitch/workload/storedRow.js";
import t from "tap";
import { MemoryRowStore } from "../src/memoryRowStore.js";

t.formatSnapshot = value => String(value);

const put = (key: string, value: string, version?: number): RowTransaction => ({
    expected: version === undefined ? [] : [{ key, version }],
    puts: [{ key, value }],
});

/** A store with two clients and the trace of their calls' answers. */
class StoreWorld {
    readonly clock = new FakeClock();
    readonly store = new MemoryRowStore(this.clock);
    readonly lines: string[] = [];
    readonly a = this.traced("a");
    readonly b = this.traced("b");

    private traced(name: string): RowStore {
        const client = this.store.client(name);
        const trace = async <T>(call: string, answer: Promise<T>): Promise<T> => {
            const settled = await answer;
            this.lines.push(`${this.clock.now()} ${name} ${call}: ${JSON.stringify(settled)}`);
            return settled;
        };
        return {
            commit: transaction => trace("commit", client.commit(transaction)),
            scan: range => trace("scan", client.scan(range)),
            follow: (after, waitMs, signal) => trace(`follow ${after}`, client.follow(after, waitMs, signal)),
        };
    }
}

type Step = (world: StoreWorld) => unknown;

/** Calls, each followed by 100 ms of time. */
const CASES: Readonly<Record<string, readonly Step[]>> = {
    "transactions take effect together or not at all": [
        ({ a }) =>
            a.commit({
                expected: [{ key: "x", version: 0 }],
                puts: [{ key: "x", value: "1" }, { key: "y", value: "1" }],
            }),
        ({ b }) => b.commit({ expected: [{ key: "x", version: 0 }], puts: [{ key: "z", value: "1" }] }),
        ({ b }) => b.commit({ expected: [{ key: "x", version: 1 }], deletes: ["x"], puts: [{ key: "y", value: "2" }] }),
        ({ a }) => a.scan({ from: "", limit: 10 }),
    ],
    "scans have a limit and a range": [
        ({ a }) => a.commit({ puts: ["a/1", "a/2", "a/3", "b/1"].map(key => ({ key, value: "" })) }),
        ({ a }) => a.scan({ from: "a/", to: "a0", limit: 2 }),
        ({ a }) => a.scan({ from: "a/2\u0000", to: "a0", limit: 2 }),
    ],
    "followers receive the newest value of each row, in order": [
        ({ b }) => b.follow(0, 1_000),
        ({ a }) => Promise.all([a.commit(put("x", "1")), a.commit(put("y", "1")), a.commit(put("x", "2"))]),
        ({ b }) => b.follow(0, 1_000),
        ({ a }) => a.commit({ deletes: ["x", "none"] }),
        ({ b }) => b.follow(3, 1_000),
        ({ b }) => b.follow(4, 50),
    ],
    "history that was dropped": [
        ({ a }) => a.commit(put("x", "1")),
        ({ store }) => {
            store.compact();
        },
        ({ b }) => b.follow(0, 1_000),
        ({ b }) => b.follow(1, 50),
    ],
    "lost answer": [
        ({ a, store }) => {
            store.setFaults({ loseAnswers: 1 });
            return a.commit(put("x", "1", 0));
        },
        ({ a }) => a.commit(put("x", "1", 0)),
    ],
    "commits that take effect later, if their conditions still hold": [
        ({ a, store }) => {
            store.setFaults({ delayCommits: 2, commitDelayMs: 150 });
            return Promise.all([a.commit(put("x", "late", 0)), a.commit(put("y", "late", 0))]);
        },
        ({ b }) => b.commit(put("x", "first", 0)),
        ({ a }) => a.scan({ from: "", limit: 10 }),
    ],
    "down, refusing one client, and slow": [
        ({ a, b }) => [a.follow(0, 1_000), b.follow(0, 250)],
        ({ store }) => {
            store.setFaults({ refused: ["a"] });
        },
        ({ a, b }) => [a.commit(put("x", "1")), b.commit(put("x", "2"))],
        ({ a, store }) => {
            store.setFaults({ refused: [], slow: 30 });
            return a.commit(put("x", "3"));
        },
        ({ b, store }) => {
            store.setFaults({ down: true });
            return b.scan({ from: "", limit: 1 });
        },
    ],
};

// Tests of the controller take these answers for those of the platform, so each fault has to do what it says.
for (const [name, steps] of Object.entries(CASES)) {
    void t.test(name, async t => {
        const world = new StoreWorld();
        for (const step of steps) {
            void step(world);
            await world.clock.advance(100);
        }
        t.matchSnapshot(world.lines.join("\n"), name);
    });
}
