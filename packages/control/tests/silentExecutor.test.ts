import t from "tap";
import { Deployment } from "./deploymentFixture.js";

const SECOND = 1_000;
const STEP = { count: 1, demand: { accelerators: 1, milliCores: 1_000, memoryMb: 100 } };
/** The longest lease, by a clock that is 2% slow, and the time until the task has run elsewhere. */
const LIMIT_MS = 20 * SECOND;

// Guards against runs that are kept for ever on an executor that takes connections and answers nothing, beside an agent
// that is well and repeats its last list.
void t.test("the runs of an executor that stays silent start elsewhere, and nothing new starts there", async t => {
    const deployment = new Deployment(["e1"], ["x1", "x2"]);
    await deployment.advance(5 * SECOND);
    await deployment.putJob("a", [STEP], { runMs: 4_000 });
    await deployment.advance(SECOND);
    const [first] = deployment.runs;
    const lost = first?.executorId ?? "";
    deployment.executor(lost).setFaults({ silent: true });
    await deployment.advance(6 * SECOND);
    await deployment.putJob("b", [STEP], { runMs: 500 });
    await deployment.advance(LIMIT_MS);
    t.equal(deployment.outcome("a"), "completed", "the job that ran there");
    t.equal(deployment.outcome("b"), "completed", "a job that came later");
    t.same(deployment.runs.slice(1).map(({ executorId }) => executorId === lost), [false, false]);
});

// Guards against work that is started twice because an executor was silent for a time that its lease outlasts.
void t.test("an executor that is silent for a short time keeps its runs", async t => {
    const deployment = new Deployment(["e1"], ["x1", "x2"]);
    await deployment.advance(5 * SECOND);
    await deployment.putJob("a", [STEP], { runMs: 9_000 });
    await deployment.advance(SECOND);
    const [first] = deployment.runs;
    const executor = deployment.executor(first?.executorId ?? "");
    executor.setFaults({ silent: true });
    await deployment.advance(4.5 * SECOND);
    executor.setFaults({ silent: false });
    await deployment.advance(6 * SECOND);
    t.equal(deployment.outcome("a"), "completed");
    t.equal(deployment.runs.length, 1);
});
