import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { rowKeys } from "@persimmonpitch/control/rows.js";
import { digestOf } from "@persimmonpitch/protocol/digest.js";
import { MemoryRowStore } from "@persimmonpitch/standins/memoryRowStore.js";
import type { ClusterConfig, Queue } from "@persimmonpitch/workload/clusterConfig.js";
import { clusterConfigSchema, queueSchema } from "@persimmonpitch/workload/clusterConfig.js";
import t from "tap";
import type { Caller } from "./testEntry.js";
import { TEST_HOST, TestEntry } from "./testEntry.js";

const queueAt = (name: string, pathPrefix: string, isPublic = false): Queue =>
    queueSchema.parse({ name, host: TEST_HOST, pathPrefix, service: "steps", isPublic });

const QUEUES: readonly Queue[] = [
    queueAt("batches", "/batches/"),
    queueAt("renders", "/renders/"),
    queueAt("guests", "/guests/", true),
    queueAt("visitors", "/batches/visitors/", true),
];

const CALLERS: readonly Caller[] = QUEUES.flatMap(({ pathPrefix, isPublic }) => {
    const path = `${pathPrefix}a`;
    const withKeys = ["weavers", "potters"].map(apiKey => ({ path, apiKey }));
    return isPublic ? [...withKeys, { path }] : withKeys;
});

const describeCaller = ({ path, apiKey = "no key" }: Caller): string => `${path} with ${apiKey}`;

const configOf = (version: number, queues: readonly Queue[]): ClusterConfig =>
    clusterConfigSchema.parse({
        version,
        queues,
        teams: ["weavers", "potters"].map(name => ({ name, apiKeys: [name] })),
        services: [],
    });

const createEntry = () => {
    const clock = new FakeClock();
    const store = new MemoryRowStore(clock);
    const isCancelled = () => store.snapshot().some(({ key }) => key === rowKeys.cancel("a"));
    return { entry: new TestEntry(clock, store, configOf(1, QUEUES)), isCancelled };
};

const createEntryWithJob = async (owner: Caller) => {
    const created = createEntry();
    await created.entry.submitNow(owner);
    return created;
};

const OWNERS: readonly Caller[] = [
    { path: "/batches/a", apiKey: "weavers" },
    { path: "/guests/a", apiKey: "weavers" },
    { path: "/guests/a" },
];

// Guards against a caller who reads or cancels the job of another queue because it has the same id, and against a second
// job with that id which is answered as stored and never runs.
for (const owner of OWNERS) {
    void t.test(`a job submitted to ${describeCaller(owner)}`, async t => {
        const lines = [];
        for (const caller of CALLERS) {
            const { entry, isCancelled } = await createEntryWithJob(owner);
            const submitted = await entry.submitNow(caller);
            const read = await entry.readNow(caller);
            const cancelled = await entry.cancelNow(caller);
            const outcome = isCancelled() ? "cancelled" : "kept";
            lines.push(`${describeCaller(caller)}: POST ${submitted}, GET ${read}, DELETE ${cancelled}: ${outcome}`);
            const isOwnQueue = caller.path === owner.path;
            t.ok(isOwnQueue || !isCancelled(), `${describeCaller(caller)} cancels nothing of another queue`);
            t.ok(isOwnQueue || submitted !== "ok", `${describeCaller(caller)} is not told that a job is stored`);
        }
        t.matchSnapshot(lines.join("\n"));
    });
}

interface ConfigCase {
    readonly name: string;
    readonly queues: readonly Queue[];
    readonly path: string;
}

const OTHERS = QUEUES.slice(1);
const CONFIG_CASES: readonly ConfigCase[] = [
    { name: "a renamed queue", queues: [queueAt("proofs", "/batches/"), ...OTHERS], path: "/batches/a" },
    { name: "a queue at another path", queues: [queueAt("batches", "/proofs/"), ...OTHERS], path: "/proofs/a" },
    { name: "a renamed queue at another path", queues: [queueAt("proofs", "/proofs/"), ...OTHERS], path: "/proofs/a" },
    {
        name: "a queue that became public",
        queues: [queueAt("batches", "/batches/", true), ...OTHERS],
        path: "/batches/a",
    },
];

// Guards against a job that its owner cannot follow any more, or that others reach, after a change of its queue.
for (const { name, queues, path } of CONFIG_CASES) {
    void t.test(`a job of ${name}`, async t => {
        const owner = { path: "/batches/a", apiKey: "weavers" };
        const { entry, isCancelled } = await createEntryWithJob(owner);
        entry.configure(configOf(2, queues));
        t.equal(await entry.readNow({ path, apiKey: "weavers" }), "queued", "its team");
        t.equal(await entry.readNow({ path, apiKey: "potters" }), "unknownJob", "another team");
        t.equal(await entry.readNow({ path: "/guests/a" }), "unknownJob", "a caller without a key in another queue");
        t.equal(await entry.cancelNow({ path: "/guests/a" }), "unknownJob", "its cancellation");
        t.equal(await entry.cancelNow({ path, apiKey: "weavers" }), "ok", "a cancellation by its team");
        t.equal(isCancelled(), true);
    });
}

// Guards against a cancellation in one queue that stops a job with the same id in another queue of the same team.
void t.test("an id that was cancelled in one queue is free in another", async t => {
    const { entry } = createEntry();
    t.equal(await entry.cancelNow({ path: "/batches/a", apiKey: "weavers" }), "unknownJob");
    t.equal(await entry.submitNow({ path: "/batches/a", apiKey: "weavers" }), "cancelled");
    t.equal(await entry.submitNow({ path: "/renders/a", apiKey: "weavers" }), "ok");
});

// Guards against a cancelled job that runs because an entry of an earlier release has written its tombstone.
void t.test("a tombstone of an earlier release holds in its queue", async t => {
    const { entry } = createEntry();
    // Earlier releases named the team alone in the key.
    const key = `tombstone/a/${digestOf("team/weavers").slice(0, 32)}`;
    const value = JSON.stringify({ at: 0, queue: "batches", team: "weavers" });
    entry.replica.apply([{ key, value, version: 1 }]);
    t.equal(await entry.submitNow({ path: "/batches/a", apiKey: "weavers" }), "cancelled");
    t.equal(await entry.submitNow({ path: "/renders/a", apiKey: "weavers" }), "ok");
});
