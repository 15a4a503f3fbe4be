import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { ConfigHolder } from "@persimmonpitch/control/configHolder.js";
import { Replica } from "@persimmonpitch/control/replica.js";
import { rowKeys } from "@persimmonpitch/control/rows.js";
import { silentLogger } from "@persimmonpitch/logging/logger.js";
import { digestOf } from "@persimmonpitch/protocol/digest.js";
import { MemoryRowStore } from "@persimmonpitch/standins/memoryRowStore.js";
import type { Queue } from "@persimmonpitch/workload/clusterConfig.js";
import { clusterConfigSchema, queueSchema } from "@persimmonpitch/workload/clusterConfig.js";
import { submissionSchema } from "@persimmonpitch/workload/stepJob.js";
import t from "tap";
import type { Result } from "true-myth/result";
import { Gateway } from "../src/gateway.js";
import type { AuthorizedRequest, GatewayError } from "../src/requests.js";

const HOST = "q.example";
const SUBMISSION = submissionSchema.parse({ payload: "p", steps: [{ count: 1, demand: {} }] });

const queueAt = (name: string, pathPrefix: string, isPublic = false): Queue =>
    queueSchema.parse({ name, host: HOST, pathPrefix, service: "steps", isPublic });

const QUEUES: readonly Queue[] = [
    queueAt("batches", "/batches/"),
    queueAt("renders", "/renders/"),
    queueAt("guests", "/guests/", true),
    queueAt("visitors", "/batches/visitors/", true),
];

/** A caller's path of the job `a` and its key. */
interface Caller {
    readonly path: string;
    readonly apiKey?: string;
}

const CALLERS: readonly Caller[] = QUEUES.flatMap(({ pathPrefix, isPublic }) => {
    const path = `${pathPrefix}a`;
    const withKeys = ["weavers", "potters"].map(apiKey => ({ path, apiKey }));
    return isPublic ? [...withKeys, { path }] : withKeys;
});

const describeCaller = ({ path, apiKey = "no key" }: Caller): string => `${path} with ${apiKey}`;

/** One entry and its store. */
class Entry {
    readonly clock = new FakeClock();
    readonly store = new MemoryRowStore(this.clock);
    readonly replica = new Replica(silentLogger);
    private readonly config = new ConfigHolder(silentLogger);
    private readonly gateway: Gateway;
    private version = 0;

    constructor() {
        this.configure(QUEUES);
        this.gateway = new Gateway({
            store: this.store.client("entry"),
            replica: this.replica,
            config: this.config,
            clock: this.clock,
            logger: silentLogger,
            timeSinceStoreResponseMs: () => 0,
            isReady: () => true,
            storeClockOffsetMs: () => 0,
            publishRows: rows => {
                this.replica.apply(rows);
            },
        });
    }

    configure(queues: readonly Queue[]): void {
        this.version += 1;
        const teams = ["weavers", "potters"].map(name => ({ name, apiKeys: [name] }));
        this.config.applyIfNewer(
            clusterConfigSchema.parse({ version: this.version, queues, teams, services: [] }),
        );
    }

    submit(caller: Caller): Promise<string> {
        return this.call(caller, request => this.gateway.submit(request, SUBMISSION));
    }

    read(caller: Caller): Promise<string> {
        return this.call(caller, request => this.gateway.readState(request));
    }

    cancel(caller: Caller): Promise<string> {
        return this.call(caller, request => this.gateway.cancel(request));
    }

    get isCancelled(): boolean {
        return this.store.snapshot().some(({ key }) => key === rowKeys.cancel("a"));
    }

    private async call<T>(
        { path, apiKey }: Caller,
        operation: (request: AuthorizedRequest) => Promise<Result<T, GatewayError>>,
    ): Promise<string> {
        const request = this.gateway.authorize({ host: HOST, path, apiKey });
        if (request.isErr) {
            return request.error;
        }
        const pending = operation(request.value);
        await this.clock.advance(5_000);
        const result = await pending;
        return result.isErr ? result.error : String(result.value ?? "ok");
    }
}

const entryWithJobOf = async (owner: Caller): Promise<Entry> => {
    const entry = new Entry();
    await entry.submit(owner);
    return entry;
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
            const entry = await entryWithJobOf(owner);
            const submitted = await entry.submit(caller);
            const read = await entry.read(caller);
            const cancelled = await entry.cancel(caller);
            const outcome = entry.isCancelled ? "cancelled" : "kept";
            lines.push(`${describeCaller(caller)}: POST ${submitted}, GET ${read}, DELETE ${cancelled}: ${outcome}`);
            const isOwnQueue = caller.path === owner.path;
            t.ok(isOwnQueue || !entry.isCancelled, `${describeCaller(caller)} cancels nothing of another queue`);
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
        const entry = await entryWithJobOf(owner);
        entry.configure(queues);
        t.equal(await entry.read({ path, apiKey: "weavers" }), "queued", "its team");
        t.equal(await entry.read({ path, apiKey: "potters" }), "unknownJob", "another team");
        t.equal(await entry.read({ path: "/guests/a" }), "unknownJob", "a caller without a key in another queue");
        t.equal(await entry.cancel({ path: "/guests/a" }), "unknownJob", "its cancellation");
        t.equal(await entry.cancel({ path, apiKey: "weavers" }), "ok", "a cancellation by its team");
        t.equal(entry.isCancelled, true);
    });
}

// Guards against a cancellation in one queue that stops a job with the same id in another queue of the same team.
void t.test("an id that was cancelled in one queue is free in another", async t => {
    const entry = new Entry();
    t.equal(await entry.cancel({ path: "/batches/a", apiKey: "weavers" }), "unknownJob");
    t.equal(await entry.submit({ path: "/batches/a", apiKey: "weavers" }), "cancelled");
    t.equal(await entry.submit({ path: "/renders/a", apiKey: "weavers" }), "ok");
});

// Guards against a cancelled job that runs because an entry of an earlier release has written its tombstone.
void t.test("a tombstone of an earlier release holds in its queue", async t => {
    const entry = new Entry();
    // Earlier releases named the team alone in the key.
    const key = `tombstone/a/${digestOf("team/weavers").slice(0, 32)}`;
    const value = JSON.stringify({ at: 0, queue: "batches", team: "weavers" });
    entry.replica.apply([{ key, value, version: 1 }]);
    t.equal(await entry.submit({ path: "/batches/a", apiKey: "weavers" }), "cancelled");
    t.equal(await entry.submit({ path: "/renders/a", apiKey: "weavers" }), "ok");
});
