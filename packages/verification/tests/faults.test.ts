import t from "tap";
import { FAULTS } from "../src/faults.js";
import { InProcessDeployment } from "../src/inProcessDeployment.js";
import { seededRandom } from "../src/seededRandom.js";
import { createSmallBody } from "../src/smallBody.js";
import { Workload } from "../src/workload.js";

const SEED = 20_261_204;
const OUTAGE_MS = 20_000;
const STEP_MS = 10;

const startWithRecords = async () => {
    const deployment = new InProcessDeployment({
        body: createSmallBody(),
        entryIds: ["entry-1", "entry-2"],
        random: seededRandom(SEED),
    });
    await deployment.start();
    deployment.table.faults.down = true;
    const workload = new Workload(deployment);
    await workload.sendRequests();
    return { deployment, workload };
};

// Guards against a drain that sleeps on the fake clock while nothing moves it: after an outage of the table the agent
// waits for its records for longer than the requests take, and the run ended as unfinished.
void t.test("a drain ends although the records of the agent are not durable", async t => {
    const { deployment, workload } = await startWithRecords();
    await FAULTS.executorDrained.run(deployment, workload);
    t.same(deployment.table.snapshot().filter(({ key }) => key.startsWith("history/")), [], "no record was written");
    await deployment.stop();
});

const timeOfFirstRecord = async () => {
    const { deployment } = await startWithRecords();
    await deployment.clock.advance(OUTAGE_MS);
    deployment.table.faults.down = false;
    const hasRecord = () => deployment.table.snapshot().some(({ key }) => key.startsWith("history/"));
    while (!hasRecord()) {
        await deployment.clock.advance(STEP_MS);
    }
    await deployment.stop();
    return deployment.clock.now();
};

// Guards against delays that are drawn from another source than the seed, so that a run that failed does not repeat.
void t.test("a seed repeats the delays of retries", async t => {
    t.equal(await timeOfFirstRecord(), await timeOfFirstRecord());
});
