import type { GuaranteeBinding, QueuedJob } from "@persimmonpitch/placement/clusterView.js";
import { RunTimeLearner } from "@persimmonpitch/placement/runTimeLearner.js";
import { EventQueue } from "./eventQueue.js";
import { ReplayCluster, ReplayError } from "./replayCluster.js";
import type { ReplayEvent } from "./replayEvents.js";
import type { ReplayJob } from "./replayJob.js";
import type { Trace, TraceJob } from "./traceSchema.js";

/** What the parts of a replay share. */
export class ReplayState {
    now = 0;
    readonly events = new EventQueue<ReplayEvent>();
    readonly cluster: ReplayCluster;
    readonly jobs = new Map<string, ReplayJob>();
    /** Waiting jobs in the order in which they were queued. */
    readonly waiting = new Map<string, QueuedJob>();
    readonly placed = new Map<string, ReplayJob>();
    /** Jobs that use a guaranteed instance of their team. */
    readonly guaranteed = new Set<ReplayJob>();
    readonly learner = new RunTimeLearner();
    bindings: readonly GuaranteeBinding[] = [];
    isStoreDown = false;
    refusedByStore: TraceJob[] = [];

    constructor(readonly trace: Trace) {
        this.cluster = new ReplayCluster(trace.deployment.vms);
    }

    /** The job if this attempt still holds accelerators. */
    current(jobId: string, attempt: number): ReplayJob | undefined {
        const job = this.placed.get(jobId);
        return job?.attempt === attempt ? job : undefined;
    }

    job(jobId: string): ReplayJob {
        const job = this.jobs.get(jobId);
        if (job === undefined) {
            throw new ReplayError(`there is no job ${jobId}`);
        }
        return job;
    }
}
