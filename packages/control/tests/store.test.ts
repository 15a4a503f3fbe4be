import type { Millis } from "@persimmonpitch/clock/clock.js";
import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { silentLogger } from "@persimmonpitch/logging/logger.js";
import type { RowStoreFaults } from "@persimmonpitch/standins/memoryRowStore.js";
import { MemoryRowStore } from "@persimmonpitch/standins/memoryRowStore.js";
import t from "tap";
import { DirectPathHealth } from "../src/directPathHealth.js";
import { ForwardingStore } from "../src/forwardingStore.js";
import { NOTHING_STORED } from "../src/jobProgressRows.js";
import { inheritedLeaseLapsedAt, leaseLapsedAt } from "../src/leaseRules.js";
import { OpenJob } from "../src/openJob.js";
import { ProgressWriter } from "../src/progressWriter.js";

interface ForwardCase {
    readonly guardsAgainst: string;
    readonly faults: Partial<RowStoreFaults>;
    readonly hasPeer: boolean;
    readonly answer: string;
    readonly commits: number;
}

const FORWARD_CASES: readonly ForwardCase[] = [
    { guardsAgainst: "unnecessary forwarding", faults: {}, hasPeer: true, answer: "ok", commits: 1 },
    { guardsAgainst: "a refused entry", faults: { refused: ["n1"] }, hasPeer: true, answer: "ok", commits: 1 },
    {
        guardsAgainst: "a call without a peer",
        faults: { refused: ["n1"] },
        hasPeer: false,
        answer: "unavailable",
        commits: 0,
    },
    {
        guardsAgainst: "an unclear commit made twice",
        faults: { loseAnswers: 1 },
        hasPeer: true,
        answer: "unclear",
        commits: 1,
    },
    { guardsAgainst: "endless forwarding", faults: { down: true }, hasPeer: true, answer: "unavailable", commits: 0 },
];

for (const { guardsAgainst, faults, hasPeer, answer, commits } of FORWARD_CASES) {
    void t.test(`forwarding guards against ${guardsAgainst}`, async t => {
        const clock = new FakeClock();
        const store = new MemoryRowStore(clock);
        const forwarding = new ForwardingStore({
            direct: store.client("n1"),
            pathHealth: new DirectPathHealth(clock),
            peers: () => hasPeer ? [{ vm: "n2", store: store.client("n2") }] : [],
            clock,
            logger: silentLogger,
            name: "state",
        });
        store.setFaults(faults);
        const outcome = await forwarding.commit({ puts: [{ key: "term", value: "{}" }] });
        t.equal(outcome.isOk ? "ok" : outcome.error.kind, answer);
        t.equal(store.counts.commits, commits);
    });
}

// Guards against a call that fails because the peer that was chosen before the direct call is disconnected by then.
void t.test("forwarding chooses the peer after the direct call has failed", async t => {
    const clock = new FakeClock();
    const store = new MemoryRowStore(clock);
    let connected = "n2";
    const forwarding = new ForwardingStore({
        direct: store.client("n1"),
        pathHealth: new DirectPathHealth(clock),
        peers: () => [{ vm: connected, store: store.client(connected) }],
        clock,
        logger: silentLogger,
        name: "state",
    });
    store.setFaults({ silent: ["n1"], refused: ["n2"] });
    const scanned = forwarding.scan({ from: "", limit: 1 });
    connected = "n3";
    await clock.advance(1_000);
    t.ok((await scanned).isOk);
});

interface WriterCase {
    readonly guardsAgainst: string;
    readonly faults: Partial<RowStoreFaults>;
    readonly isRoleTaken: boolean;
    readonly isFlushed: boolean;
    readonly commits: number;
}

const WRITER_CASES: readonly WriterCase[] = [
    { guardsAgainst: "one write for each job", faults: {}, isRoleTaken: false, isFlushed: true, commits: 1 },
    { guardsAgainst: "a lost answer", faults: { loseAnswers: 2 }, isRoleTaken: false, isFlushed: true, commits: 1 },
    {
        guardsAgainst: "a first attempt that takes effect late",
        faults: { delayCommits: 1 },
        isRoleTaken: false,
        isFlushed: true,
        commits: 1,
    },
    { guardsAgainst: "a write of an older controller", faults: {}, isRoleTaken: true, isFlushed: false, commits: 0 },
];

for (const { guardsAgainst, faults, isRoleTaken, isFlushed, commits } of WRITER_CASES) {
    void t.test(`the progress writer guards against ${guardsAgainst}`, async t => {
        const clock = new FakeClock();
        const store = new MemoryRowStore(clock);
        const client = store.client("n1");
        await client.commit({ puts: [{ key: "role", value: "{}" }] });
        const before = store.counts.commits;
        store.setFaults(faults);
        const lost: string[] = [];
        const writer = new ProgressWriter({
            store: client,
            clock,
            logger: silentLogger,
            roleVersion: isRoleTaken ? 7 : 1,
            onRoleLost: detail => lost.push(detail),
            announce: () => undefined,
        });
        const stop = new AbortController();
        const running = writer.run(stop.signal);
        for (const jobId of ["a", "b"]) {
            const job = { jobId, queue: "q", acceptedAt: 0, payload: "", steps: [] };
            writer.markDirty(new OpenJob(job, NOTHING_STORED));
        }
        const flushed = writer.flushed();
        await clock.advance(5_000);
        t.equal(await flushed, isFlushed);
        t.equal(store.counts.commits - before, commits);
        t.equal(lost.length, isRoleTaken ? 1 : 0);
        stop.abort();
        await running;
    });
}

// Guards against a task that is started elsewhere while a slow clock keeps its lease alive.
void t.test("a lease has ended on any clock that is at most 2% slow", t => {
    const leaseMs: Millis = 10_000;
    const slowest = leaseMs / 0.98;
    t.ok(leaseLapsedAt(leaseMs, { readingMs: 0, at: 0 }) >= slowest);
    t.ok(inheritedLeaseLapsedAt(0, leaseMs) >= slowest + 3_000);
    t.ok(leaseLapsedAt(0, { readingMs: 500, at: 100 }) >= 100, "a deadline in the past has ended");
    t.end();
});
