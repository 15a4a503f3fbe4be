import type { Millis } from "@persimmonpitch/clock/clock.js";
import { timingsSchema } from "@persimmonpitch/workload/timings.js";
import t from "tap";
import { Deployment } from "./deploymentFixture.js";

const JOB = "00000000000000a1";
const DEMAND = { milliCores: 500, memoryMb: 256, accelerators: 0 };
/** Longer than a silent executor with the shorter of the two leases is waited for, and shorter than with the other. */
const OUTAGE_MS: Millis = 9_000;

/** Whether the task of a silent executor was restarted under a controller that took the role after the silence began. */
const isRestarted = async (maxLeaseMs: Millis): Promise<boolean> => {
    const deployment = new Deployment(["n1"], ["e1", "e2"]);
    await deployment.advance(2_000);
    await deployment.putJob(JOB, [{ count: 1, demand: DEMAND }], { runMs: 60_000 });
    await deployment.advance(1_000);
    const silent = deployment.runs[0]?.executorId ?? "";
    deployment.partitioned.add(silent);
    deployment.killNode("n1");
    const node = deployment.startNode("n1");
    await deployment.advance(1_000);
    node.setTimings(timingsSchema.parse({ maxLeaseMs }));
    await deployment.advance(OUTAGE_MS);
    return deployment.runs.length > 1;
};

// Guards against a running controller that keeps the timings with which it took the role.
void t.test("changed timings reach a running controller", async t => {
    t.notOk(await isRestarted(10_000), "waits for the lease as first configured");
    t.ok(await isRestarted(3_000), "waits for the shorter lease that is configured meanwhile");
});
