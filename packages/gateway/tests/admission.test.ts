import type { LoadRow } from "@persimmonpitch/admission/loadRow.js";
import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { ConfigHolder } from "@persimmonpitch/control/configHolder.js";
import { Replica } from "@persimmonpitch/control/replica.js";
import { rowKeys } from "@persimmonpitch/control/rows.js";
import type { LogFields } from "@persimmonpitch/logging/logger.js";
import { silentLogger } from "@persimmonpitch/logging/logger.js";
import { formatSnapshot } from "@persimmonpitch/snapshots/formatSnapshot.js";
import { MemoryRowStore } from "@persimmonpitch/standins/memoryRowStore.js";
import { clusterConfigSchema } from "@persimmonpitch/workload/clusterConfig.js";
import { submissionSchema } from "@persimmonpitch/workload/stepJob.js";
import fc from "fast-check";
import t from "tap";
import { Gateway } from "../src/gateway.js";
import type { GatewayError } from "../src/requests.js";

t.formatSnapshot = formatSnapshot;

const QUEUE = { host: "h", service: "desk", slackFactor: 1.5, targetLatencyMs: 300 };
const CONFIG = clusterConfigSchema.parse({
    version: 1,
    queues: [
        { ...QUEUE, name: "renders", pathPrefix: "/renders/", priority: 0 },
        { ...QUEUE, name: "previews", pathPrefix: "/previews/", priority: 2 },
    ],
    teams: [{ name: "weavers", apiKeys: ["w"], guaranteedAccelerators: 8 }, { name: "potters", apiKeys: ["p"] }],
    services: [],
});

const SUBMISSION = submissionSchema.parse({
    payload: "",
    steps: [{ count: 4, declaredMs: 3_000, demand: { accelerators: 1 } }],
});

const NO_WORK = { running: 0, waiting: 0, hopeless: 0, guaranteed: 0, pathMs: 3_000 };

/** A load under which the work of each priority takes the whole service for 25 s. */
const saturatedLoad = (at: number): LoadRow => ({
    epoch: 3,
    at,
    services: [{
        name: "desk",
        totalAccelerators: 80,
        freeAccelerators: 0,
        largestExecutor: 8,
        priorities: [
            { priority: 0, ...NO_WORK, running: 1_000, waiting: 1_000, leastValue: 1 },
            { priority: 2, ...NO_WORK, running: 1_000, waiting: 1_000, leastValue: 1 },
        ],
    }],
});

const createFixture = (isAdmissionOn = true) => {
    const clock = new FakeClock();
    const store = new MemoryRowStore(clock);
    const config = new ConfigHolder(silentLogger);
    config.applyIfNewer(CONFIG);
    const logLines: LogFields[] = [];
    const createEntry = () => {
        const replica = new Replica(silentLogger);
        const gateway = new Gateway({
            store: store.client("n1"),
            replica,
            config,
            clock,
            logger: {
                ...silentLogger,
                log: (level, event, fields) => logLines.push({ level, event, ...fields }),
            },
            timeSinceStoreResponseMs: () => 250,
            isReady: () => true,
            storeClockOffsetMs: () => 0,
            publishRows: rows => {
                replica.apply(rows);
            },
            isAdmissionOn: () => isAdmissionOn,
            random: () => 0.5,
        });
        return { replica, gateway };
    };
    let version = 100;
    const publishLoad = ({ replica }: ReturnType<typeof createEntry>, at = clock.now()): void => {
        version += 1;
        replica.apply([{ key: rowKeys.load, value: JSON.stringify(saturatedLoad(at)), version }]);
    };
    const submit = async (
        { gateway }: ReturnType<typeof createEntry>,
        path: string,
        apiKey = "p",
    ): Promise<GatewayError | "accepted"> => {
        const request = gateway.authorize({ host: "h", path, apiKey }).unwrapOr(undefined);
        if (request === undefined) {
            throw new Error("the request was not authorized");
        }
        const response = gateway.submit(request, SUBMISSION);
        await clock.advance(10);
        const result = await response;
        return result.isErr ? result.error : "accepted";
    };
    return { clock, store, logLines, createEntry, publishLoad, submit };
};

/** Submits jobs one after the other with a new row before each. */
const submitAll = async (
    { createEntry, publishLoad, submit }: ReturnType<typeof createFixture>,
    paths: readonly string[],
    apiKey = "p",
): Promise<readonly string[]> => {
    const entry = createEntry();
    const answers: string[] = [];
    for (const path of paths) {
        publishLoad(entry);
        answers.push(await submit(entry, path, apiKey));
    }
    return answers;
};

const PATHS = ["a", "b", "c", "d", "e", "f"].map(id => `/renders/${id}`);

// Guards against a refused job that is stored, a refusal that cannot be traced, and a queue that is closed altogether.
void t.test("jobs that would earn nothing are refused, at most every second one, and are not stored", async t => {
    const fixture = createFixture();
    const answers = await submitAll(fixture, PATHS);
    t.strictSame(answers, ["accepted", "overloaded", "accepted", "overloaded", "accepted", "overloaded"]);
    const stored = fixture.store.snapshot().map(({ key }) => key);
    t.strictSame(stored, ["job/a", "job/c", "job/e"]);
    t.matchSnapshot(fixture.logLines);
});

// Guards against a change for installations that do not ask for admission.
void t.test("without the setting nothing is refused", async t => {
    const fixture = createFixture(false);
    t.strictSame(new Set(await submitAll(fixture, PATHS)), new Set(["accepted"]));
});

// Guards against a refusal of capacity that a team was promised, and against a guarantee that is counted twice.
void t.test("a team is refused nothing within its guarantee", async t => {
    const fixture = createFixture();
    const answers = await submitAll(fixture, PATHS, "w");
    // The guarantee of 8 accelerators covers two jobs of 4.
    t.strictSame(answers, ["accepted", "accepted", "overloaded", "overloaded", "accepted", "overloaded"]);
});

// Guards against refusals by a forecast that nobody updates.
void t.test("by an old row nothing is refused", async t => {
    const fixture = createFixture();
    const entry = fixture.createEntry();
    fixture.publishLoad(entry);
    await fixture.clock.advance(6_000);
    const answers: string[] = [];
    for (const path of PATHS) {
        answers.push(await fixture.submit(entry, path));
    }
    t.strictSame(new Set(answers), new Set(["accepted"]));
});

// Guards against a requester who is told that a stored job does not run.
void t.test("a repeat of a stored id is never refused, also by an entry that has not heard of the job", async t => {
    const fixture = createFixture();
    const first = fixture.createEntry();
    t.equal(await fixture.submit(first, "/renders/a"), "accepted");
    const answers = await submitAll(fixture, PATHS.flatMap(path => [path, "/renders/a"]));
    t.strictSame(answers.filter((_, index) => index % 2 === 1), PATHS.map(() => "accepted"));
});

// Guards against sequences of submissions and missed rows in which a stored job is reported as refused, or the job of
// another queue with its id as accepted.
void t.test("a repeat of a stored id is never refused, in generated sequences at two entries", async () => {
    const submission = fc.record({
        id: fc.integer({ min: 0, max: 5 }),
        entry: fc.constantFrom(0, 1),
        queue: fc.constantFrom("renders", "previews"),
    });
    await fc.assert(
        fc.asyncProperty(fc.array(submission, { maxLength: 20 }), async submissions => {
            const fixture = createFixture();
            const entries = [fixture.createEntry(), fixture.createEntry()];
            const queueOfStored = new Map<number, string>();
            for (const { id, entry: index, queue } of submissions) {
                const entry = entries[index];
                if (entry === undefined) {
                    throw new Error("unknown entry");
                }
                fixture.publishLoad(entry);
                const isStored = (): boolean => fixture.store.snapshot().some(({ key }) => key === `job/job${id}`);
                const queueBefore = queueOfStored.get(id);
                const answer = await fixture.submit(entry, `/${queue}/job${id}`);
                if (queueBefore === undefined && isStored()) {
                    queueOfStored.set(id, queue);
                }
                const expectedRepeat = queueBefore === queue ? "accepted" : "idInUse";
                const isExpected = queueBefore === undefined
                    ? (answer === "overloaded") !== isStored()
                    : answer === expectedRepeat;
                if (!isExpected) {
                    return false;
                }
            }
            return true;
        }),
        { seed: 20_613, numRuns: 200 },
    );
});

// Guards against a refusal of a job whose earlier write is still to take effect.
void t.test("a repeat of an unclear submission is not refused", async t => {
    const fixture = createFixture();
    const entry = fixture.createEntry();
    fixture.store.setFaults({ delayCommits: 50, commitDelayMs: 30_000 });
    const request = entry.gateway.authorize({ host: "h", path: "/renders/a", apiKey: "p" }).unwrapOr(undefined);
    if (request === undefined) {
        throw new Error("the request was not authorized");
    }
    const response = entry.gateway.submit(request, SUBMISSION);
    await fixture.clock.advance(5_000);
    const result = await response;
    t.equal(result.isErr && result.error, "unclear");
    fixture.store.setFaults({ delayCommits: 0 });
    for (const path of ["/renders/x", "/renders/a"]) {
        fixture.publishLoad(entry);
        t.equal(await fixture.submit(entry, path), path === "/renders/a" ? "accepted" : "overloaded");
    }
});

// Guards against refused requesters of urgent jobs who wait as long as others.
void t.test("the time to the next try follows the forecast and the priority", t => {
    const { createEntry, publishLoad } = createFixture();
    const entry = createEntry();
    const secondsOf = (path: string): number => {
        const request = entry.gateway.authorize({ host: "h", path, apiKey: "p" }).unwrapOr(undefined);
        return request === undefined ? 0 : entry.gateway.retryAfterSeconds(request);
    };
    const before = { renders: secondsOf("/renders/a"), previews: secondsOf("/previews/a") };
    publishLoad(entry);
    t.matchSnapshot({ before, after: { renders: secondsOf("/renders/a"), previews: secondsOf("/previews/a") } });
    t.end();
});
