import t from "tap";
import { Deployment } from "./deploymentFixture.js";

const SECOND = 1_000;
/** The longest cut that the pages name. */
const CUT_MS = 5.5 * SECOND;
/** Time for one term to end, and for a successor to take the role. */
const SETTLED_MS = 3 * SECOND;

// Guards against entries that take the role from each other for ever because connections to its holder were refused once.
void t.test("the role settles after connections between entries were refused", async t => {
    const deployment = new Deployment(["n1", "n2", "n3", "n4"], ["x1"]);
    await deployment.advance(5 * SECOND);
    const epochBefore = deployment.epoch;
    await deployment.refuseConnections(deployment.controller, CUT_MS);
    await deployment.advance(SETTLED_MS);
    const { epoch } = deployment;
    t.ok(
        epoch - epochBefore <= 4,
        `the role was taken ${epoch - epochBefore} times in the cut, at most once by each entry`,
    );
    await deployment.advance(20 * SECOND);
    t.equal(deployment.epoch, epoch, "afterwards");
});

// Guards against a takeover that waits for the end of the term although the holder is down.
void t.test("the role of an entry that is down is taken at once", async t => {
    const deployment = new Deployment(["n1", "n2", "n3", "n4"], ["x1"]);
    await deployment.advance(5 * SECOND);
    const epochBefore = deployment.epoch;
    deployment.killNode(deployment.controller);
    await deployment.advance(SECOND);
    t.equal(deployment.epoch, epochBefore + 1);
});
