import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { rowKeys } from "@persimmonpitch/control/rows.js";
import type { RowStoreFaults } from "@persimmonpitch/standins/memoryRowStore.js";
import { MemoryRowStore } from "@persimmonpitch/standins/memoryRowStore.js";
import { clusterConfigSchema } from "@persimmonpitch/workload/clusterConfig.js";
import fc from "fast-check";
import t from "tap";
import type { Caller } from "./testEntry.js";
import { TEST_HOST, TestEntry } from "./testEntry.js";

const QUEUE = { name: "q", host: TEST_HOST, pathPrefix: "/jobs/", service: "steps" };
const CONFIG = clusterConfigSchema.parse({
    version: 1,
    queues: [QUEUE, { ...QUEUE, name: "open", pathPrefix: "/open/", isPublic: true }],
    teams: [{ name: "team", apiKeys: ["k1"] }, { name: "other", apiKeys: ["k2"] }],
    services: [],
});
/** Longer than any call and any write that is done late. */
const SETTLED_MS = 20_000;

const OWNER: Caller = { path: "/jobs/a", apiKey: "k1" };
const OTHER_TEAM: Caller = { path: "/jobs/a", apiKey: "k2" };
const KEYLESS: Caller = { path: "/open/a", apiKey: undefined };

const createEntries = () => {
    const clock = new FakeClock();
    const store = new MemoryRowStore(clock);
    const keys = () => store.snapshot().map(({ key }) => key);
    const [first, second] = [new TestEntry(clock, store, CONFIG), new TestEntry(clock, store, CONFIG)];
    return { clock, store, first, second, keys };
};

const JOB_KEY = rowKeys.job("a");

/** Answers to a cancellation that the requester may rely on: its job is not started later. */
const CANCELLED_ANSWERS: ReadonlySet<string> = new Set(["ok", "unknownJob"]);

// Guards against starting a job whose cancellation was answered while the write of the job was under way.
void t.test("a job is not stored by a late write after its cancellation was answered", async t => {
    const { clock, store, first, second, keys } = createEntries();
    store.setFaults({ delayCommits: 50, commitDelayMs: 6_000 });
    t.equal(await first.submitNow(OWNER), "unclear");
    store.setFaults({ delayCommits: 0 });
    t.equal(await second.cancelNow(OWNER), "unknownJob");
    await clock.advance(SETTLED_MS);
    t.notOk(keys().includes(JOB_KEY));
});

// Guards against starting a cancelled job because the entry repeats a write without an answer.
void t.test("a job is not stored by the entry's own retry after its cancellation was answered", async t => {
    const { clock, store, first, second, keys } = createEntries();
    store.setFaults({ delayCommits: 1, commitDelayMs: 6_000 });
    const submission = first.submit(OWNER);
    await clock.advance(50);
    const cancellation = second.cancel(OWNER);
    await clock.advance(SETTLED_MS);
    t.equal(await cancellation, "unknownJob");
    t.equal(await submission, "cancelled");
    t.notOk(keys().includes(JOB_KEY));
});

// Guards against storing a cancelled job after its tombstone was removed, by an entry that was paused meanwhile.
void t.test("a paused entry does not repeat a submission", async t => {
    const { clock, store, first } = createEntries();
    store.setFaults({ slow: 60_000, loseAnswers: 1 });
    const submission = first.submit(OWNER);
    await clock.advance(60_000);
    store.setFaults({ slow: 0 });
    await clock.advance(SETTLED_MS);
    t.equal(await submission, "unclear");
    t.equal(store.counts.commits + store.counts.conflicts, 1);
});

// Guards against an answer that reports a job as stored although it was cancelled before.
void t.test("a submission that is repeated after its cancellation is answered as cancelled on each entry", async t => {
    const { first, second, keys } = createEntries();
    t.equal(await first.cancelNow(OWNER), "unknownJob");
    t.equal(await first.submitNow(OWNER), "cancelled", "the entry knows the cancellation");
    t.equal(await second.submitNow(OWNER), "cancelled", "only the store knows the cancellation");
    t.notOk(keys().includes(JOB_KEY));
});

// Guards against a job that runs on because its cancellation found no row while it was being stored.
void t.test("a job that is stored between the read and the write of its cancellation is cancelled", async t => {
    const { clock, store, first, second, keys } = createEntries();
    store.setFaults({ delayCommits: 50, commitDelayMs: 1_000 });
    t.equal(await first.submitNow(OWNER), "unclear");
    store.setFaults({ delayCommits: 0 });
    t.equal(await second.cancelNow(OWNER), "ok", "the late write was done before");
    store.setFaults({ slow: 100 });
    const cancellation = second.cancel({ ...OWNER, path: "/jobs/b" });
    await clock.advance(50);
    const submission = first.submit({ ...OWNER, path: "/jobs/b" });
    await clock.advance(SETTLED_MS);
    t.equal(await submission, "ok");
    t.equal(await cancellation, "ok");
    t.ok(keys().includes(rowKeys.cancel("b")));
});

// Guards against a team that stops the work of another team by cancelling ids that are not in use yet.
for (const [name, caller] of Object.entries({ "another team": OTHER_TEAM, "a caller without a key": KEYLESS })) {
    void t.test(`a cancellation by ${name} does not stop a job that is stored later`, async t => {
        const { first, second, keys } = createEntries();
        t.equal(await first.cancelNow(caller), "unknownJob");
        t.equal(await second.submitNow(OWNER), "ok");
        t.ok(keys().includes(JOB_KEY));
        t.notOk(keys().includes(rowKeys.cancel("a")));
    });
}

// Guards against an answer that reports a job as stored although the id belongs to a job of another team.
void t.test("a submission with the id of another team's job is refused on each entry", async t => {
    const { first, second } = createEntries();
    t.equal(await first.submitNow(OWNER), "ok");
    t.equal(await first.submitNow(OTHER_TEAM), "idInUse", "the entry knows the job");
    t.equal(await second.submitNow(OTHER_TEAM), "idInUse", "only the store knows the job");
    t.equal(await second.submitNow(OWNER), "ok", "a repeat by the owner is idempotent");
});

const UNREACHED: readonly (readonly [string, Partial<RowStoreFaults>, string])[] = [
    ["is down", { down: true }, "unavailable"],
    ["does not answer", { silent: ["entry"] }, "unavailable"],
    ["loses the answers of writes", { delayCommits: 10, commitDelayMs: SETTLED_MS }, "unclear"],
];

// Guards against answering a cancellation that is not durable.
for (const [name, faults, expected] of UNREACHED) {
    void t.test(`the cancellation of an unknown job fails while the store ${name}`, async t => {
        const { store, first, keys } = createEntries();
        store.setFaults(faults);
        t.equal(await first.cancelNow(OWNER), expected);
        t.same(keys(), []);
    });
}

// Guards against a store and replicas that are filled by cancellations of ids that nobody uses.
void t.test("a team with very many cancellations of unknown jobs is refused, and others are not", async t => {
    const { store, first, keys } = createEntries();
    const answers: string[] = [];
    for (let index = 0; index < 600; index += 1) {
        answers.push(await first.cancel({ ...OTHER_TEAM, path: `/jobs/${index}` }));
    }
    t.equal(answers.filter(answer => answer === "unknownJob").length, 500);
    t.equal(answers.filter(answer => answer === "tooManyCancellations").length, 100);
    t.equal(keys().length, 500);
    t.equal(await first.cancelNow(OWNER), "unknownJob", "another team");
    t.equal(await first.cancel({ ...OTHER_TEAM, path: "/jobs/0" }), "unknownJob", "a repeated cancellation");
    t.equal(store.counts.commits, 501);
});

interface Step {
    readonly isCancellation: boolean;
    readonly isOnSecond: boolean;
    readonly delayCommits: number;
    readonly loseAnswers: number;
    readonly slow: number;
    readonly pauseMs: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
    isCancellation: fc.boolean(),
    isOnSecond: fc.boolean(),
    delayCommits: fc.nat(2),
    loseAnswers: fc.nat(1),
    slow: fc.constantFrom(0, 20, 300),
    pauseMs: fc.constantFrom(0, 10, 150, 800, 3_000, 9_000),
});

// Guards against any order of submissions, cancellations and late writes in which a job with an answered cancellation
// is stored and not cancelled, or a job that was answered as stored is missing.
void t.test("answers to submissions and cancellations hold in each order", async t => {
    const property = fc.asyncProperty(fc.array(stepArbitrary, { minLength: 2, maxLength: 6 }), async steps => {
        const { clock, store, first, second, keys } = createEntries();
        const submissions: Promise<string>[] = [];
        const cancellations: Promise<string>[] = [];
        for (const { isCancellation, isOnSecond, delayCommits, loseAnswers, slow, pauseMs } of steps) {
            store.setFaults({ delayCommits, loseAnswers, slow, commitDelayMs: 6_000 });
            const entry = isOnSecond ? second : first;
            if (isCancellation) {
                cancellations.push(entry.cancel(OWNER));
            }
            else {
                submissions.push(entry.submit(OWNER));
            }
            await clock.advance(pauseMs);
        }
        store.setFaults({ delayCommits: 0, loseAnswers: 0, slow: 0 });
        await clock.advance(SETTLED_MS);
        const isStored = keys().includes(JOB_KEY);
        const isCancelled = keys().includes(rowKeys.cancel("a"));
        const wasAccepted = (await Promise.all(submissions)).includes("ok");
        const wasCancelled = (await Promise.all(cancellations)).some(answer => CANCELLED_ANSWERS.has(answer));
        return (!wasAccepted || isStored) && (!wasCancelled || !isStored || isCancelled);
    });
    await t.resolves(fc.assert(property, { numRuns: 300, seed: 37 }));
});
