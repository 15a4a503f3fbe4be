import type { ClusterConfig, Queue } from "@persimmonpitch/workload/clusterConfig.js";
import type { StepJob } from "@persimmonpitch/workload/stepJob.js";

/**
 * Returns a function that finds the queue of a job: as configured now, or as it was when the job was accepted if the
 * operator has removed it since, because an accepted job runs to its end. It finds none only for jobs that an earlier
 * release accepted.
 */
export const queueFinder = (config: ClusterConfig | undefined): (job: StepJob) => Queue | undefined => {
    const queues = new Map(config?.queues.map(queue => [queue.name, queue]));
    return job => queues.get(job.queue) ?? job.acceptedQueue;
};

/** Finds the queue of one job, as `queueFinder` does. */
export const queueOfJob = (config: ClusterConfig | undefined, job: StepJob): Queue | undefined =>
    queueFinder(config)(job);
