import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { silentLogger } from "@persimmonpitch/logging/logger.js";
import type { JobProgress } from "@persimmonpitch/workload/progress.js";
import { encodeProgress } from "@persimmonpitch/workload/progressRow.js";
import { stepJobSchema } from "@persimmonpitch/workload/stepJob.js";
import { ActiveJobs } from "../src/activeJobs.js";
import { ClusterState } from "../src/clusterState.js";
import type { OpenJob } from "../src/openJob.js";
import { Replica } from "../src/replica.js";

/** Cluster state of a new controller with its only job, "a". */
export interface RestoredCluster {
    readonly cluster: ClusterState;
    readonly openJob: OpenJob;
    readonly jobs: ActiveJobs;
    readonly clock: FakeClock;
}

/** Creates the cluster state of a new controller from the rows of job "a" with these steps and this progress. */
export const restoreCluster = (
    steps: readonly object[],
    tasks: JobProgress["tasks"],
    maxAttempts = 1,
): RestoredCluster => {
    const job = stepJobSchema.parse({ jobId: "a", queue: "batch", payload: "", steps, acceptedAt: 0 });
    const replica = new Replica(silentLogger);
    replica.apply([
        { key: "job/a", value: JSON.stringify(job), version: 1 },
        { key: "run/a", value: encodeProgress({ outcome: "open", tasks }), version: 2 },
    ]);
    const jobs = new ActiveJobs(replica, silentLogger);
    const openJob = jobs.byId.get("a");
    if (openJob === undefined) {
        throw new Error("The job is not open.");
    }
    const clock = new FakeClock();
    const cluster = new ClusterState({
        jobs,
        clock,
        logger: silentLogger,
        maxAttempts: () => maxAttempts,
        onChanged: () => undefined,
    });
    return { cluster, openJob, jobs, clock };
};
