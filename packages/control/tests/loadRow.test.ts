import type { LoadRow } from "@persimmonpitch/admission/loadRow.js";
import { submissionSchema } from "@persimmonpitch/workload/stepJob.js";
import t from "tap";
import { rowKeys } from "../src/rows.js";
import { Deployment } from "./deploymentFixture.js";

const SETTLED_MS = 3_000;

const createDeployment = async (publishesLoad?: () => boolean): Promise<Deployment> => {
    const deployment = new Deployment(["n1", "n2"], ["x1"], publishesLoad === undefined ? {} : { publishesLoad });
    await deployment.advance(SETTLED_MS);
    return deployment;
};

const putJob = async (deployment: Deployment, jobId: string): Promise<void> => {
    const payload = JSON.stringify({ runMs: 20_000 });
    const steps = [{ count: 3, declaredMs: 20_000, demand: { milliCores: 1, accelerators: 1 } }];
    const job = {
        ...submissionSchema.parse({ payload, steps }),
        jobId,
        queue: "q",
        acceptedAt: deployment.clock.now(),
    };
    await deployment.putRow(rowKeys.job(jobId), JSON.stringify(job));
};

const loadsOf = ({ nodes }: Deployment): readonly (LoadRow | undefined)[] =>
    [...nodes.values()].map(({ replica }) => replica.load?.value);

const versionOf = ({ store }: Deployment): number =>
    store.snapshot().find(({ key }) => key === rowKeys.load)?.version ?? 0;

// Guards against entries that decide without the load of the cluster, or by different loads.
void t.test("every entry reads the load that the controller publishes", async t => {
    const deployment = await createDeployment(() => true);
    await putJob(deployment, "a");
    await deployment.advance(SETTLED_MS);
    const [first, second] = loadsOf(deployment);
    t.strictSame(first, second);
    t.equal(first?.services[0]?.priorities[0]?.priority, 1);
    const { running = 0, waiting = 0 } = first?.services[0]?.priorities[0] ?? {};
    t.ok(running + waiting > 0, "the work of the open job is counted");
});

// Guards against store writes that carry no news.
void t.test("the row is not written while nothing changes", async t => {
    const deployment = await createDeployment(() => true);
    const version = versionOf(deployment);
    t.ok(version > 0, "the row of an idle cluster is written once");
    await deployment.advance(10_000);
    t.equal(versionOf(deployment), version);
});

// Guards against more writes than the store has to bear.
void t.test("the row is written at most once a second", async t => {
    const deployment = await createDeployment(() => true);
    const versions = new Set([versionOf(deployment)]);
    for (let number = 0; number < 20; number += 1) {
        await putJob(deployment, `job${number}`);
        await deployment.advance(200);
        versions.add(versionOf(deployment));
    }
    t.ok(versions.size > 1, "the row follows the load");
    t.ok(versions.size <= 1 + 4_000 / 1_000 + 1, `${versions.size} versions in 4 s`);
});

// Guards against a row of a controller that has lost its role.
void t.test("a new controller publishes the load under its own epoch", async t => {
    const deployment = await createDeployment(() => true);
    const before = loadsOf(deployment)[0]?.epoch ?? 0;
    const holder = [...deployment.nodes.values()][0]?.replica.role?.value.vm ?? "";
    deployment.killNode(holder);
    await deployment.advance(2 * SETTLED_MS);
    const [load] = loadsOf(deployment);
    t.ok((load?.epoch ?? 0) > before);
});

// Guards against a row that an installation without admission has no use for.
void t.test("without the setting no row is written", async t => {
    const deployment = await createDeployment();
    await putJob(deployment, "a");
    await deployment.advance(SETTLED_MS);
    t.equal(versionOf(deployment), 0);
});
