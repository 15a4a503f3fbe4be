import t from "tap";
import { Deployment } from "./deploymentFixture.js";

const SECOND = 1_000;
const STEP = { count: 1, demand: { accelerators: 1, milliCores: 1_000, memoryMb: 100 } };
/** The time until a task of an executor that is down has run elsewhere: the lease, its margins and the task. */
const LIMIT_MS = 15 * SECOND;

const startJob = async (work: object) => {
    const deployment = new Deployment(["e1"], ["x1", "x2"]);
    await deployment.advance(5 * SECOND);
    await deployment.putJob("a", [STEP], work);
    await deployment.advance(SECOND);
    const [first] = deployment.runs;
    return { deployment, executor: deployment.executor(first?.executorId ?? "") };
};

// Guards against a second run of a task whose executor works on while a partition refuses the connections to it.
void t.test("runs go on while connections to their executor are refused for less than its lease", async t => {
    const { deployment, executor } = await startJob({ runMs: 9 * SECOND });
    executor.setFaults({ refusesConnections: true });
    await deployment.advance(5 * SECOND);
    t.equal(deployment.runs.length, 1, "during the partition");
    executor.setFaults({ refusesConnections: false });
    await deployment.advance(6 * SECOND);
    t.equal(deployment.outcome("a"), "completed");
    t.equal(deployment.runs.length, 1, "after the partition");
});

// Guards against a second run of a task whose first start took effect without an answer, before connections were refused.
void t.test("a start without an answer counts as started while connections are refused", async t => {
    const deployment = new Deployment(["e1"], ["x1", "x2"]);
    await deployment.advance(5 * SECOND);
    ["x1", "x2"].forEach(name => {
        deployment.executor(name).setFaults({ unansweredOrders: 1 });
    });
    await deployment.putJob("a", [STEP], { runMs: 6 * SECOND });
    while (deployment.runs.length === 0) {
        await deployment.advance(10);
    }
    const [first] = deployment.runs;
    const executor = deployment.executor(first?.executorId ?? "");
    executor.setFaults({ refusesConnections: true });
    await deployment.advance(3 * SECOND);
    t.equal(deployment.runs.length, 1, "during the partition");
    executor.setFaults({ refusesConnections: false });
    await deployment.advance(LIMIT_MS);
    t.equal(deployment.outcome("a"), "completed");
    t.same(overlaps(deployment), [], "runs of the task at one time");
});

// Guards against a cancelled run that goes on after a partition, because a refused stop counted as its end.
void t.test("a stop that is refused does not count as answered", async t => {
    const { deployment, executor } = await startJob({ runMs: 60 * SECOND });
    executor.setFaults({ refusesConnections: true });
    await deployment.advance(SECOND);
    await deployment.cancel("a");
    await deployment.advance(2 * SECOND);
    executor.setFaults({ refusesConnections: false });
    await deployment.advance(2 * SECOND);
    const [run] = deployment.runs;
    t.equal(run?.kind, "stopped", "once the executor can be reached");
});

// Guards against work that waits for ever on an executor that is down and is never announced again.
void t.test("the runs of an executor that is down start elsewhere once its lease has lapsed", async t => {
    const { deployment, executor } = await startJob({ runMs: 4 * SECOND });
    deployment.crash(executor.executorId);
    await deployment.advance(LIMIT_MS);
    t.equal(deployment.outcome("a"), "completed");
    t.equal(deployment.runs.length, 2);
});

// Guards against a recovery that waits for a lease although a new incarnation shows that the runs are over.
void t.test("the runs of an executor that restarts start again at once", async t => {
    const { deployment, executor } = await startJob({ runMs: 4 * SECOND });
    deployment.crash(executor.executorId);
    await deployment.advance(SECOND);
    executor.restart();
    const restartedAt = deployment.clock.now();
    await deployment.advance(2 * SECOND);
    const [, second] = deployment.runs;
    t.ok(second !== undefined && second.startedAt - restartedAt <= 1.5 * SECOND, "the second run");
});

// Guards against a recovery that waits for a lease although the executor has said that it ends.
void t.test("the runs of an executor that has deregistered start again at once", async t => {
    const { deployment, executor } = await startJob({ runMs: 4 * SECOND });
    const leftAt = deployment.clock.now();
    deployment.leave(executor.executorId);
    await deployment.advance(2 * SECOND);
    const [, second] = deployment.runs;
    t.ok(second !== undefined && second.startedAt - leftAt <= SECOND, "the second run");
});

/** Pairs of runs of one task that overlap in time. */
const overlaps = ({ runs }: Deployment): readonly string[] =>
    runs.flatMap((run, index) =>
        runs.slice(index + 1)
            .filter(later => later.task === run.task && later.startedAt < (run.endedAt ?? Infinity))
            .map(later => `${run.task}#${run.run} and #${later.run}`)
    );
