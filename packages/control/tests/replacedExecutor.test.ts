import t from "tap";
import { restoreCluster } from "./clusterStateFixture.js";

const ADDRESS = "10.0.0.1:8080";

interface Case {
    readonly name: string;
    readonly vm: string;
    readonly address: string;
    readonly born: number;
    readonly isLost: boolean;
}

const CASES: readonly Case[] = [
    { name: "newer at the same address", vm: "worker-1", address: ADDRESS, born: 200, isLost: true },
    { name: "older at the same address", vm: "worker-1", address: ADDRESS, born: 50, isLost: false },
    { name: "newer at another address", vm: "worker-1", address: "10.0.0.1:8081", born: 200, isLost: false },
    { name: "newer on another VM", vm: "worker-2", address: ADDRESS, born: 200, isLost: false },
];

const TASK = {
    run: 1,
    placement: { vm: "worker-1", executorId: "old", born: 100, address: ADDRESS },
    failures: 0,
    isDone: false,
};

// Guards against work that waits for the longest lease after its executor restarted under another id, and against
// starting work twice because a running executor is considered replaced.
void t.test("what ran on an executor is lost when a newer one listens at its address", t => {
    for (const { name, vm, address, born, isLost } of CASES) {
        const { cluster } = restoreCluster([{ count: 1, demand: {} }], { "0.0.0": TASK });
        const newer = cluster.getOrAddExecutor(vm, "new");
        newer.address = address;
        newer.born = born;
        cluster.markReplacedRunsLost(newer);
        t.equal(cluster.executors.get("old")?.runs.size, isLost ? 0 : 1, name);
    }
    t.end();
});

// Guards against a list that the agent repeats while the executor does not respond: it would look like a new report of
// a stalled run.
void t.test("only a newer list of an executor counts as a reading of its clock", async t => {
    const { cluster, clock } = restoreCluster([{ count: 1, demand: {} }], { "0.0.0": TASK });
    const state = cluster.getOrAddExecutor("worker-1", "old");
    const list = { born: 100, clockMs: 7_000, running: [], ends: [], hasMoreEnds: false };
    cluster.applyRunList(state, list);
    const { clock: first } = state;
    await clock.advance(1_000);
    cluster.applyRunList(state, list);
    t.same(state.clock, first, "a repeated list");
    cluster.applyRunList(state, { ...list, clockMs: 8_000 });
    t.same(state.clock, { readingMs: 8_000, at: clock.now() }, "a newer list");
});
