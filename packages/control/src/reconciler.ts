import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { parseTaskName } from "@persimmonpitch/workload/taskName.js";
import type { Timings } from "@persimmonpitch/workload/timings.js";
import type { ActiveJobs } from "./activeJobs.js";
import type { ClusterState } from "./clusterState.js";
import type { ExecutorState, TrackedRun } from "./executorState.js";
import { inheritedLeaseLapsedAt, leaseLapsedAt } from "./leaseRules.js";
import type { OpenJob } from "./openJob.js";
import { stepKeys } from "./openJob.js";
import type { OrderSender } from "./orderSender.js";

export interface ReconcilerOptions {
    readonly cluster: ClusterState;
    readonly jobs: ActiveJobs;
    readonly orders: OrderSender;
    readonly clock: Clock;
    /** When this controller took the role. */
    readonly takenAt: Millis;
    readonly timings: Timings;
    /** Called for each ended job once its last run is gone. */
    readonly onJobRemoved: (openJob: OpenJob) => void;
}

/** Stops or drops runs that no longer match the state of their jobs. */
export class Reconciler {
    constructor(private readonly options: ReconcilerOptions) {}

    /** Marks runs on unreachable executors as lost once the lease has certainly lapsed. */
    markLapsedRunsLost(): void {
        const { cluster, clock, takenAt, timings } = this.options;
        const now = clock.now();
        for (const state of cluster.executors.values()) {
            if (state.runs.size === 0 || state.isAttached) {
                continue;
            }
            const knownLapsedAt = state.clock === undefined
                ? inheritedLeaseLapsedAt(Math.max(takenAt, state.incarnationSeenAt), timings.maxLeaseMs)
                : leaseLapsedAt(state.deadlineMs, state.clock);
            if (now >= Math.max(knownLapsedAt, lateStartLapsedAt(state, timings.maxLeaseMs))) {
                cluster.markAllRunsLost(state, "lapsed");
            }
        }
    }

    /**
     * Stops runs that must not continue: those of ended jobs, of gangs that lost a member, and those without a claim.
     */
    reconcile(): void {
        const { cluster, jobs, orders, onJobRemoved } = this.options;
        for (const state of cluster.executors.values()) {
            for (const tracked of state.runs.values()) {
                const openJob = jobs.byId.get(tracked.jobId);
                // An order for an earlier incarnation may still start the run on this one, unless it is stopped there.
                const isUnlistedAfterRestart = state.isAttached && tracked.born !== state.born;
                // A stop that was not answered is repeated, because a start under way could still take effect.
                if (
                    tracked.isStopping || openJob === undefined || !openJob.isOpen || tracked.isTaskDone
                    || isUnlistedAfterRestart
                    || isGangIncomplete(openJob, tracked)
                ) {
                    orders.stop(tracked);
                }
            }
            for (const unclaimed of state.unclaimedRuns.values()) {
                orders.stopUnclaimed(state, unclaimed);
            }
        }
        const jobsWithRuns = new Set(
            [...cluster.executors.values()].flatMap(state => [...state.runs.values()].map(({ jobId }) => jobId)),
        );
        for (const [jobId, openJob] of jobs.byId) {
            if (!openJob.isOpen && !jobsWithRuns.has(jobId)) {
                jobs.remove(jobId);
                onJobRemoved(openJob);
            }
        }
    }
}

/** Returns when the leases of all runs that an unanswered order may have started late have lapsed. */
const lateStartLapsedAt = ({ runs }: ExecutorState, maxLeaseMs: Millis): Millis =>
    Math.max(
        0,
        ...[...runs.values()].map(({ unansweredStarts, startSentAt = 0 }) =>
            unansweredStarts === 0 ? 0 : inheritedLeaseLapsedAt(startSentAt, maxLeaseMs)
        ),
    );

/** Whether the gang lost a member, so that the remaining members must stop. */
const isGangIncomplete = (openJob: OpenJob, tracked: TrackedRun): boolean => {
    const parsed = parseTaskName(tracked.task);
    const step = parsed === undefined ? undefined : openJob.job.steps[parsed.step];
    if (parsed === undefined || step?.isGang !== true) {
        return false;
    }
    return stepKeys(step, parsed.occurrence, parsed.step).some(key => {
        const task = openJob.task(key);
        return task.run !== tracked.run || (task.placement === undefined && !task.isDone);
    });
};
