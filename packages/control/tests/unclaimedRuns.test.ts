import type { Demand } from "@persimmonpitch/workload/step.js";
import t from "tap";
import { restoreCluster } from "./clusterStateFixture.js";

const CAPACITY: Demand = { milliCores: 32_000, memoryMb: 64_000, accelerators: 8 };
const DEMAND: Demand = { milliCores: 1_000, memoryMb: 100, accelerators: 1 };

/** Resources that a run without a claim takes on an executor which lists it. */
const demandOfListed = (task: string, hasEnded: boolean): Demand | undefined => {
    const { cluster, openJob, jobs } = restoreCluster([{ count: 1, demand: DEMAND }], {});
    const state = cluster.getOrAddExecutor("worker-1", "x1");
    state.info = {
        ...{ executorId: "x1", born: 100, service: "steps", dataCentre: "dc1", isDraining: false, labels: [] },
        capacity: CAPACITY,
    };
    if (hasEnded) {
        openJob.finish("completed");
        jobs.remove("a");
    }
    const running = [{ task, run: 2, checkpoint: "", percent: 0 }];
    cluster.applyRunList(state, { born: 100, clockMs: 1_000, running, ends: [], hasMoreEnds: false });
    return state.unclaimedRuns.get(task)?.demand;
};

// Guards against an executor that counts as full because it still lists a run of a job that has ended: other work waited
// until the run was stopped.
void t.test("a run without a claim takes what its job asked for", t => {
    t.same(demandOfListed("a.0.0.0", false), DEMAND, "of an open job");
    t.same(demandOfListed("a.0.0.0", true), DEMAND, "of an ended job");
    t.same(demandOfListed("b.0.0.0", false), CAPACITY, "of a job that is not stored, whose demand nobody knows");
    t.end();
});
