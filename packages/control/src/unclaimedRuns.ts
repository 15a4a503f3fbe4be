import type { RunList } from "@persimmonpitch/workload/executorReport.js";
import type { Demand } from "@persimmonpitch/workload/step.js";
import { parseTaskName } from "@persimmonpitch/workload/taskName.js";
import type { ActiveJobs } from "./activeJobs.js";
import type { ExecutorState } from "./executorState.js";
import { runDemand } from "./runDemand.js";

/** Updates the set of runs that an executor lists without a claim. */
export const updateUnclaimedRuns = (jobs: ActiveJobs, state: ExecutorState, list: RunList): void => {
    state.unclaimedRuns.clear();
    for (const { task, run } of list.running) {
        if (state.runs.get(task)?.run !== run) {
            state.unclaimedRuns.set(task, { task, run, demand: unclaimedDemand(jobs, state, task) });
        }
    }
};

/** Resources taken by a run without a claim: all of the executor if its job is not stored. */
const unclaimedDemand = (jobs: ActiveJobs, state: ExecutorState, task: string): Demand => {
    const parsed = parseTaskName(task);
    const job = parsed === undefined ? undefined : jobs.storedJob(parsed.jobId);
    return parsed === undefined || job === undefined
        ? state.info?.capacity ?? { milliCores: 0, memoryMb: 0, accelerators: 0 }
        : runDemand(job, parsed.key);
};
