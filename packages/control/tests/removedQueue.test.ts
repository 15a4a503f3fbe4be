import type { ClusterConfig } from "@persimmonpitch/workload/clusterConfig.js";
import t from "tap";
import { Deployment, queueOf } from "./deploymentFixture.js";

const SECOND = 1_000;
const EXECUTORS = ["x1", "x2"];
const QUEUES = ["q", "signs"];

const BESIDE_OTHERS = { demand: { accelerators: 1, milliCores: 1_000, memoryMb: 100 }, maxPerExecutor: 1 };
const LASTING = { ...BESIDE_OTHERS, count: EXECUTORS.length, isLongRunning: true };
const SINGLE = { count: 1, demand: { accelerators: 1, milliCores: 1_000, memoryMb: 100 } };

const startDeployment = async (): Promise<Deployment> => {
    const deployment = new Deployment(["e1", "e2"], EXECUTORS, { queues: QUEUES });
    await deployment.advance(5 * SECOND);
    return deployment;
};

const removeSigns = async (deployment: Deployment): Promise<void> => {
    await deployment.putConfig(2, ["q"]);
    await deployment.advance(3 * SECOND);
};

// Guards against executors that count as full because of a run whose queue the operator has removed: accepted jobs of
// other queues never started beside it.
void t.test("a job starts beside the runs of a removed queue", async t => {
    for (const isOld of [false, true]) {
        const deployment = await startDeployment();
        await deployment.putJobOf("signs", "lasting", [LASTING], { runMs: 600_000 }, isOld);
        await deployment.advance(3 * SECOND);
        t.equal(deployment.runs.length, EXECUTORS.length, "the tasks that last run");
        await removeSigns(deployment);
        await deployment.putJobOf("q", "other", [SINGLE], { runMs: 500 });
        await deployment.advance(5 * SECOND);
        t.equal(deployment.outcome("other"), "completed", isOld ? "stored by the release before" : "stored as now");
        t.equal(
            deployment.runs.filter(({ endedAt }) => endedAt === undefined).length,
            EXECUTORS.length,
            "still running",
        );
    }
});

// Guards against accepted jobs that never finish because the operator removed their queue: their waiting tasks and
// later steps were never started, neither by the controller at the time nor by the next one.
void t.test("an accepted job of a removed queue runs to its end", async t => {
    const deployment = await startDeployment();
    await deployment.putJobOf("signs", "chain", [SINGLE, { ...SINGLE, after: [0] }, { ...SINGLE, after: [1] }], {
        runMs: 6_000,
    });
    await deployment.advance(2 * SECOND);
    await removeSigns(deployment);
    await deployment.advance(4 * SECOND);
    deployment.killNode(deployment.controller);
    await deployment.advance(25 * SECOND);
    t.equal(deployment.outcome("chain"), "completed");
});

// Guards against a task that starts again after its last attempt because its queue was removed when that attempt
// failed: the number of attempts was then taken as unlimited.
void t.test("attempts are limited while the queue is removed", async t => {
    const deployment = await startDeployment();
    await deployment.putJobOf("signs", "failing", [SINGLE], { runMs: 4_000, fails: true });
    await deployment.advance(2 * SECOND);
    await removeSigns(deployment);
    await deployment.advance(10 * SECOND);
    await deployment.putConfig(3, QUEUES);
    await deployment.advance(10 * SECOND);
    t.equal(deployment.outcome("failing"), "failed");
    t.equal(deployment.runs.length, 2, "the attempts that the queue allows");
});

const TEAM = { name: "weavers", apiKeys: [], guaranteedAccelerators: 8 };

interface ConfigChange {
    readonly name: string;
    readonly queues: readonly string[];
    readonly change: Partial<ClusterConfig>;
}

const CONFIG_CHANGES: readonly ConfigChange[] = [
    { name: "its queue is renamed", queues: ["q", "labels"], change: { teams: [TEAM] } },
    { name: "its service is removed", queues: QUEUES, change: { teams: [TEAM], services: [] } },
    { name: "its team is removed", queues: QUEUES, change: {} },
    { name: "queue and team are removed", queues: ["q"], change: {} },
];

// Guards against accepted jobs that never finish because the newest configuration no longer names what they belong to.
for (const { name, queues, change } of CONFIG_CHANGES) {
    void t.test(`an accepted job runs to its end: ${name}`, async t => {
        const deployment = await startDeployment();
        await deployment.putConfig(2, QUEUES, { teams: [TEAM] });
        const steps = [SINGLE, { ...SINGLE, after: [0] }];
        const acceptedQueue = queueOf("signs");
        await deployment.putJob("chain", steps, { runMs: 4_000 }, "test", {
            queue: "signs",
            acceptedQueue,
            team: TEAM.name,
        });
        await deployment.advance(2 * SECOND);
        await deployment.putConfig(3, queues, change);
        await deployment.advance(10 * SECOND);
        t.equal(deployment.outcome("chain"), "completed");
    });
}

// Guards against an accepted job that keeps the limits of its acceptance although its queue was changed.
void t.test("a job runs by its queue as it is configured now", async t => {
    const deployment = await startDeployment();
    await deployment.putJobOf("signs", "failing", [SINGLE], { runMs: 4_000, fails: true });
    await deployment.advance(2 * SECOND);
    await deployment.putConfig(2, [], { queues: [queueOf("signs", { maxAttempts: 1 })] });
    await deployment.advance(10 * SECOND);
    t.equal(deployment.outcome("failing"), "failed");
    t.equal(deployment.runs.length, 1, "the attempts that the queue allows now");
});
