import type { ClusterConfig, Queue } from "@persimmonpitch/workload/clusterConfig.js";
import type { StepJob } from "@persimmonpitch/workload/stepJob.js";

/**
 * Returns the queue of a job: as configured now, or as it was when the job was accepted if the operator has removed it
 * since, because an accepted job runs to its end. Undefined only for jobs that an earlier release accepted.
 */
export const queueOfJob = (config: ClusterConfig | undefined, job: StepJob): Queue | undefined =>
    config?.queues.find(({ name }) => name === job.queue) ?? job.acceptedQueue;
