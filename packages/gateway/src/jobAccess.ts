import type { ClusterConfig, Queue } from "@persimmonpitch/workload/clusterConfig.js";
import type { StepJob } from "@persimmonpitch/workload/stepJob.js";
import type { AuthorizedRequest } from "./requests.js";

/** Whether a request names the job: it came through the queue that accepted the job, and from an allowed caller. */
export const namesJob = (job: StepJob, request: AuthorizedRequest): boolean =>
    isQueueOfJob(job, request.queue) && isAllowedTeam(job, request);

/**
 * Whether a request may read or cancel the job. While the operator has removed the job's queue, the job's own team reaches
 * it through any queue, so that it can be followed after its queue was renamed and moved.
 */
export const mayAccessJob = (job: StepJob, request: AuthorizedRequest, config: ClusterConfig | undefined): boolean =>
    namesJob(job, request) || (isOwnTeam(job, request) && !isQueueConfigured(job, config));

/** Whether the queue is the one that accepted the job. The operator may have renamed it or changed its path since. */
const isQueueOfJob = ({ queue, acceptedQueue }: StepJob, { name, host, pathPrefix }: Queue): boolean =>
    name === queue || (host === acceptedQueue?.host && pathPrefix === acceptedQueue.pathPrefix);

/** In public queues, jobs and requests may have no team; then access within the queue is not restricted. */
const isAllowedTeam = (job: StepJob, { team }: AuthorizedRequest): boolean =>
    job.team === undefined || team === undefined || job.team === team;

const isOwnTeam = (job: StepJob, { team }: AuthorizedRequest): boolean => team !== undefined && job.team === team;

const isQueueConfigured = (job: StepJob, config: ClusterConfig | undefined): boolean =>
    config?.queues.some(queue => isQueueOfJob(job, queue)) === true;
