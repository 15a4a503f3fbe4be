import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { silentLogger } from "@persimmonpitch/logging/logger.js";
import type { RowStoreFaults } from "@persimmonpitch/standins/memoryRowStore.js";
import { MemoryRowStore } from "@persimmonpitch/standins/memoryRowStore.js";
import type { TaskProgress } from "@persimmonpitch/workload/progress.js";
import { MAX_CHECKPOINT_BYTES } from "@persimmonpitch/workload/progressLayout.js";
import { encodeProgress } from "@persimmonpitch/workload/progressRow.js";
import { stepJobSchema } from "@persimmonpitch/workload/stepJob.js";
import { stepKeys } from "@persimmonpitch/workload/stepKeys.js";
import t from "tap";
import { ActiveJobs } from "../src/activeJobs.js";
import type { OpenJob } from "../src/openJob.js";
import { ProgressWriter } from "../src/progressWriter.js";
import { Replica } from "../src/replica.js";
import { rowKeys } from "../src/rows.js";

const WIDTH = 230;
const STEPS = 3;
const TIMES = 6;

/** Bytes of a value, encoded as base64, that the store takes. */
const MAX_ROW_BYTES = 65_536;

const jobOf = (jobId: string, count: number, steps = 1, times = 1) =>
    stepJobSchema.parse({
        jobId,
        queue: "q",
        payload: "",
        acceptedAt: 0,
        steps: Array.from({ length: steps }, () => ({ count, demand: {} })),
        repetition: { count: times, firstDueAt: 0, intervalMs: 0 },
    });

const LARGE_JOB = jobOf("large", WIDTH, STEPS, TIMES);

const keysOf = ({ job }: OpenJob): readonly string[] =>
    Array.from({ length: job.repetition?.count ?? 1 }, (_, occurrence) => occurrence)
        .flatMap(occurrence => job.steps.flatMap((step, index) => stepKeys(step, occurrence, index)));

const placementOn = (executor: number) => ({
    vm: `side-taoyuan-b-${executor}`,
    executorId: `i-${String(executor).padStart(32, "0")}`,
    born: 1_796_513_405_962,
    address: `10.200.100.${executor % 200}:65000`,
});

/** A controller's writer and jobs on a store, without its other tasks. */
class WriterFixture {
    readonly clock = new FakeClock();
    readonly store = new MemoryRowStore(this.clock);
    readonly client = this.store.client("entry-1");
    isRoleLost = false;
    private readonly aborted = new AbortController();

    /** Starts a writer that holds the role, as a new controller does. */
    async startWriter(): Promise<ProgressWriter> {
        const taken = await this.client.commit({ puts: [{ key: rowKeys.role, value: "{}" }] });
        const writer = new ProgressWriter({
            store: this.client,
            clock: this.clock,
            logger: silentLogger,
            roleVersion: taken.isOk ? taken.value.version : 0,
            onRoleLost: () => {
                this.isRoleLost = true;
            },
            announce: () => undefined,
        });
        void writer.run(this.aborted.signal);
        return writer;
    }

    async putRow(key: string, value: string): Promise<void> {
        await this.client.commit({ puts: [{ key, value }] });
    }

    readReplica(): Replica {
        const replica = new Replica(silentLogger);
        replica.apply([...this.store.snapshot()]);
        return replica;
    }

    loadJob(jobId: string): OpenJob {
        const openJob = new ActiveJobs(this.readReplica(), silentLogger).byId.get(jobId);
        if (openJob === undefined) {
            throw new Error(`The job ${jobId} is not open.`);
        }
        return openJob;
    }

    setFaults(faults: Partial<RowStoreFaults>): void {
        this.store.setFaults(faults);
    }

    async write(writer: ProgressWriter, ...jobs: readonly OpenJob[]): Promise<void> {
        jobs.forEach(openJob => {
            writer.markDirty(openJob);
        });
        const flushed = writer.flushed();
        await this.clock.advance(1_000);
        await flushed;
    }

    encodedBytes(): readonly number[] {
        return this.store.snapshot().map(({ value }) => Buffer.from(value).toString("base64").length);
    }

    stop(): void {
        this.aborted.abort();
    }
}

const putJob = (fixture: WriterFixture, job: typeof LARGE_JOB) =>
    fixture.putRow(rowKeys.job(job.jobId), JSON.stringify(job));

// Guards against progress that outgrows the longest row of the store, and against a cost that grows with the square of
// the tasks because each change writes all of them.
void t.test("the rows of a large job stay short, and a change writes only one of them", async t => {
    const fixture = new WriterFixture();
    await putJob(fixture, LARGE_JOB);
    const writer = await fixture.startWriter();
    const openJob = fixture.loadJob("large");
    const checkpoint = "c".repeat(MAX_CHECKPOINT_BYTES - 2);
    const keys = keysOf(openJob);
    keys.forEach((key, index) => {
        openJob.update(key, { run: 100, placement: placementOn(index), failures: 3, failedRun: 99, checkpoint });
    });
    await fixture.write(writer, openJob);
    t.equal(fixture.isRoleLost, false, "the role is kept");
    t.ok(Math.max(...fixture.encodedBytes()) <= MAX_ROW_BYTES, "no row is too long");
    t.strictSame(fixture.loadJob("large").progress.tasks, openJob.progress.tasks, "a new controller reads the same");

    const before = new Map(fixture.store.snapshot().map(({ key, version }) => [key, version]));
    openJob.update(keys[0] ?? "", { isDone: true, placement: undefined, checkpoint: undefined });
    await fixture.write(writer, openJob);
    const written = fixture.store.snapshot().filter(({ key, version }) => before.get(key) !== version);
    t.same(written.map(({ key }) => key), ["tasks/large/0"], "one row is written");
    fixture.stop();
});

void t.test("a large job completes, and its state can be read", async t => {
    const fixture = new WriterFixture();
    await putJob(fixture, LARGE_JOB);
    const writer = await fixture.startWriter();
    const openJob = fixture.loadJob("large");
    keysOf(openJob).forEach(key => {
        openJob.update(key, { run: 1, isDone: true });
    });
    await fixture.write(writer, openJob);
    const progress = fixture.readReplica().progress.get("large")?.value;
    t.same(progress, { outcome: "completed", tasks: {}, split: { isStarted: true } });
    fixture.stop();
});

// Guards against tasks that run again after an upgrade, because their progress stands in the single row of an earlier
// release.
void t.test("a large job in a single row of an earlier release is read and moved", async t => {
    const fixture = new WriterFixture();
    await putJob(fixture, LARGE_JOB);
    const done: TaskProgress = { run: 2, failures: 1, failedRun: 1, isDone: true };
    const tasks = { "0.0.0": done, "3.2.229": done, "1.1.100": { ...done, isDone: false, placement: placementOn(1) } };
    await fixture.putRow(rowKeys.run("large"), encodeProgress({ outcome: "open", tasks }));
    const openJob = fixture.loadJob("large");
    t.same(openJob.progress.tasks, tasks, "the old row is read");

    const writer = await fixture.startWriter();
    openJob.update("0.0.1", { run: 1, placement: placementOn(2) });
    await fixture.write(writer, openJob);
    t.strictSame(fixture.loadJob("large").progress.tasks, openJob.progress.tasks, "all tasks are moved");
    t.match(fixture.readReplica().progress.get("large")?.value, { tasks: {}, split: { isStarted: true } });
    fixture.stop();
});

interface RefusalCase {
    readonly name: string;
    readonly faults: Partial<RowStoreFaults>;
    /** Outcome in the store; undefined if the store has no row. */
    readonly storedOutcome: string | undefined;
}

const REFUSAL_CASES: readonly RefusalCase[] = [
    { name: "its row is too long", faults: { maxValueBytes: 1_000 }, storedOutcome: "failed" },
    { name: "its row is always refused", faults: { refusedKeys: ["run/bad"] }, storedOutcome: undefined },
];

// Guards against a refused row of one job that ends the controller's role, or keeps rows of other jobs from being
// written, so that nothing runs any more.
for (const { name, faults, storedOutcome } of REFUSAL_CASES) {
    void t.test(`a job that cannot be stored affects no other job: ${name}`, async t => {
        const fixture = new WriterFixture();
        const jobs = [jobOf("a", 1), jobOf("bad", 90), jobOf("z", 1)];
        for (const job of jobs) {
            await putJob(fixture, job);
        }
        const writer = await fixture.startWriter();
        const [first, bad, last] = jobs.map(({ jobId }) => fixture.loadJob(jobId)) as [OpenJob, OpenJob, OpenJob];
        fixture.setFaults(faults);
        first.update("0.0.0", { run: 1 });
        last.update("0.0.0", { run: 1 });
        keysOf(bad).forEach(key => {
            bad.update(key, { run: 1 });
        });
        await fixture.write(writer, first, bad, last);
        t.equal(fixture.isRoleLost, false, "the role is kept");
        const { progress } = fixture.readReplica();
        t.equal(progress.get("a")?.value.tasks["0.0.0"]?.run, 1, "a job before it is written");
        t.equal(progress.get("z")?.value.tasks["0.0.0"]?.run, 1, "a job after it is written");
        t.equal(progress.get("bad")?.value.outcome, storedOutcome, "the refused job");
        t.equal(bad.isOpen, false, "the refused job is not open");

        last.update("0.0.0", { run: 2 });
        bad.update("0.0.0", { run: 2 });
        await fixture.write(writer, bad, last);
        t.equal(fixture.isRoleLost, false, "the role is kept later");
        t.equal(fixture.readReplica().progress.get("z")?.value.tasks["0.0.0"]?.run, 2, "other jobs go on");
        fixture.stop();
    });
}
