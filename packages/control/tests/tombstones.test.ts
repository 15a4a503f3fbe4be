import type { Millis } from "@persimmonpitch/clock/clock.js";
import { submissionSchema } from "@persimmonpitch/workload/stepJob.js";
import t from "tap";
import type { JobOwner } from "../src/rows.js";
import { rowKeys } from "../src/rows.js";
import { Deployment } from "./deploymentFixture.js";

const OWNER: JobOwner = { queue: "q", team: "team" };
const KEYLESS: JobOwner = { queue: "q" };
const OTHER_TEAM: JobOwner = { queue: "q", team: "other" };

/** How long the system may take to start a job, or to end a cancelled one. */
const SETTLED_MS: Millis = 3_000;
/** Default of `statusRetentionMs`. */
const RETENTION_MS: Millis = 120_000;

const createDeployment = async (): Promise<Deployment> => {
    const deployment = new Deployment(["n1", "n2"], ["x1"]);
    await deployment.advance(SETTLED_MS);
    return deployment;
};

/** Writes a job without a condition, as an entry of the release before tombstones does. */
const putJob = async (deployment: Deployment, owner = OWNER): Promise<void> => {
    const payload = JSON.stringify({ runMs: 500 });
    const submission = submissionSchema.parse({ payload, steps: [{ count: 1, demand: { milliCores: 1 } }] });
    const job = { ...submission, jobId: "a", acceptedAt: deployment.clock.now(), ...owner };
    await deployment.putRow(rowKeys.job("a"), JSON.stringify(job));
};

const putTombstone = async (deployment: Deployment, owner = OWNER, jobId = "a"): Promise<void> => {
    const value = JSON.stringify({ at: deployment.clock.now(), ...owner });
    await deployment.putRow(rowKeys.tombstone(jobId, owner), value);
};

const tombstoneCount = (deployment: Deployment): number =>
    deployment.store.snapshot().filter(({ key }) => key.startsWith("tombstone/")).length;

interface Case {
    readonly name: string;
    readonly cancelledBy: JobOwner;
    readonly jobOwner: JobOwner;
    readonly isCancelled: boolean;
}

const CASES: readonly Case[] = [
    { name: "its team", cancelledBy: OWNER, jobOwner: OWNER, isCancelled: true },
    { name: "a caller without a key, as it was submitted", cancelledBy: KEYLESS, jobOwner: KEYLESS, isCancelled: true },
    { name: "another team", cancelledBy: OTHER_TEAM, jobOwner: OWNER, isCancelled: false },
    { name: "a caller without a key", cancelledBy: KEYLESS, jobOwner: OWNER, isCancelled: false },
    {
        name: "a caller without a key in another queue",
        cancelledBy: { queue: "other" },
        jobOwner: KEYLESS,
        isCancelled: false,
    },
];

// Guards against starting a cancelled job that an entry of an earlier release stores, and against stopping the job of
// another team.
for (const { name, cancelledBy, jobOwner, isCancelled } of CASES) {
    void t.test(`a job that was cancelled before by ${name}`, async t => {
        const deployment = await createDeployment();
        await putTombstone(deployment, cancelledBy);
        await putJob(deployment, jobOwner);
        await deployment.advance(SETTLED_MS);
        t.equal(deployment.outcome("a"), isCancelled ? "cancelled" : "completed");
        t.equal(deployment.runs.length, isCancelled ? 0 : 1);
    });
}

// Guards against a controller that takes the role and starts a job whose cancellation came first, or that learns of
// the cancellation last.
void t.test("a stored tombstone counts for a new controller and for a job that waits", async t => {
    const deployment = await createDeployment();
    deployment.partitioned.add("x1");
    await deployment.advance(SETTLED_MS);
    await putJob(deployment);
    await deployment.advance(SETTLED_MS);
    await putTombstone(deployment);
    await deployment.advance(SETTLED_MS);
    t.equal(deployment.outcome("a"), "cancelled", "the tombstone arrives after the job");
    deployment.killNode("n1");
    deployment.killNode("n2");
    await putTombstone(deployment, OWNER, "b");
    deployment.partitioned.clear();
    deployment.startNode("n3");
    await deployment.advance(10_000);
    t.same(deployment.runs, []);
    t.equal(tombstoneCount(deployment), 2);
});

// Guards against tombstones that stay for ever, and against one that is removed while a late write is possible.
void t.test("tombstones are removed after the retention of ended jobs, whichever entry is the controller", async t => {
    const deployment = await createDeployment();
    for (let index = 0; index < 100; index += 1) {
        await putTombstone(deployment, OWNER, `job-${index}`);
    }
    await deployment.advance(RETENTION_MS / 2);
    deployment.killNode(deployment.controller);
    await deployment.advance(RETENTION_MS / 2 - 2_000);
    t.equal(tombstoneCount(deployment), 100);
    await deployment.advance(6_000);
    t.equal(tombstoneCount(deployment), 0);
    t.equal([...deployment.nodes.values()][0]?.replica.tombstones.size, 0);
});

// Guards against a removal without an answer that takes effect after the same id was cancelled again.
void t.test("a removal that takes effect late spares a newer tombstone", async t => {
    const deployment = await createDeployment();
    await putTombstone(deployment);
    await deployment.advance(RETENTION_MS);
    // The next commits are the removal and renewals of the term.
    deployment.store.setFaults({ delayCommits: 3, commitDelayMs: 4_000 });
    await deployment.advance(1_500);
    deployment.store.setFaults({ delayCommits: 0 });
    t.equal(tombstoneCount(deployment), 1, "the removal is under way");
    await putTombstone(deployment);
    await deployment.advance(10_000);
    t.equal(tombstoneCount(deployment), 1);
});

// Guards against removals that compete with callers for a store that refuses calls.
void t.test("a sweep that fails is repeated with a pause", async t => {
    const deployment = await createDeployment();
    await putTombstone(deployment);
    await deployment.advance(RETENTION_MS);
    deployment.store.setFaults({ down: true });
    await deployment.advance(2_000);
    deployment.store.setFaults({ down: false });
    await deployment.advance(5_000);
    t.equal(tombstoneCount(deployment), 1);
    await deployment.advance(10_000);
    t.equal(tombstoneCount(deployment), 0);
});
