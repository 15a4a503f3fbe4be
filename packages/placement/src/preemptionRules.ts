import type { JobSpec } from "@persimmonpitch/schema/job.js";
import type { ClusterView, QueuedJob } from "./clusterView.js";
import { CLASS_RANK, gangAccelerators } from "./jobTraits.js";
import type { PassContext } from "./passContext.js";

/** Smallest gang whose wait at the head of the queue is bounded. */
export const LARGE_GANG_ACCELERATORS = 16;

/** Least difference in class rank between an urgent or interactive job and the jobs that it may preempt. */
const MIN_CLASS_RANK_GAP = 2;

/** Share of the waiting job's expected accelerator time that the preemption of one victim may lose. */
const MAX_LOSS_FRACTION = 0.05;

/** Least run time of a checkpointable job before its preemption, so that the grace is a small part of its time. */
const MIN_RUN_BEFORE_PREEMPTION_MS = 60_000;

/** Whether a job of this spec that started at this wall time may be preempted. */
export type PreemptionRule = (victim: JobSpec, startedAt: number) => boolean;

/** Whether the gang is large enough for its wait to be bounded. */
export const isLargeGang = ({ gang }: JobSpec): boolean => gangAccelerators(gang) >= LARGE_GANG_ACCELERATORS;

/**
 * Allows the preemption of jobs that rank below the job: by class, then whether they have a needed-by time, then size. The
 * order is strict, so that two jobs can never preempt each other in turn.
 */
const ranksBelow = (job: JobSpec): PreemptionRule => {
    const rank = CLASS_RANK[job.workClass];
    const hasNeededBy = job.neededBy !== undefined;
    const size = gangAccelerators(job.gang);
    return victim => {
        const victimRank = CLASS_RANK[victim.workClass];
        const victimHasNeededBy = victim.neededBy !== undefined;
        if (victimRank !== rank) {
            return victimRank > rank;
        }
        return victimHasNeededBy === hasNeededBy ? gangAccelerators(victim.gang) < size : hasNeededBy;
    };
};

const wouldMissNeededBy = ({ estimates, view }: PassContext, job: QueuedJob): boolean => {
    const { neededBy } = job.spec;
    return neededBy !== undefined && neededBy > view.now && view.now + estimates.conservativeMs(job) >= neededBy;
};

/** Accelerator time lost by the preemption of the victim, including the grace. */
const preemptionCost = (victim: JobSpec, startedAt: number, { now, rules }: ClusterView): number =>
    (rules.preemptionGraceMs + (victim.checkpointable ? 0 : now - startedAt)) * gangAccelerators(victim.gang);

/** Allows preemptions whose cost is small compared with the work of the waiting job. */
const withinLossLimit = ({ view, estimates }: PassContext, job: QueuedJob): PreemptionRule => {
    const allowed = MAX_LOSS_FRACTION * estimates.expectedMs(job) * gangAccelerators(job.spec.gang);
    return (victim, startedAt) =>
        preemptionCost(victim, startedAt, view) <= allowed
        && (!victim.checkpointable || view.now - startedAt >= MIN_RUN_BEFORE_PREEMPTION_MS);
};

const allOf = (first: PreemptionRule, second: PreemptionRule): PreemptionRule => (victim, startedAt) =>
    first(victim, startedAt) && second(victim, startedAt);

/**
 * Whether no waiting job of equal or higher rank was submitted earlier. Jobs that the gang may preempt are left out:
 * otherwise a victim, once it waits again, would prevent further preemption by the gang that preempted it.
 */
const isFirstOfItsRank = ({ view }: PassContext, { spec, submittedAt }: QueuedJob): boolean => {
    const ranksBelowJob = ranksBelow(spec);
    return view.queued.every(other => other.submittedAt >= submittedAt || ranksBelowJob(other.spec, 0));
};

/**
 * Whether a job that the gang cannot preempt, and that started before the submission of the gang, still runs. The bound on
 * the wait of the gang allows it to wait for such jobs.
 */
const hasOlderNonPreemptibleWork = ({ cluster }: PassContext, { submittedAt }: QueuedJob): boolean =>
    [...cluster.placedById.values()].some(({ job, preemptible, usesGuarantee, stopping }) =>
        (!preemptible || usesGuarantee) && !stopping && job.startedAt <= submittedAt
    );

/** Rule for the jobs that a job without a guarantee may preempt; undefined if it may preempt none. */
export const preemptionRuleFor = (
    context: PassContext,
    job: QueuedJob,
    isFirstLargeGang: boolean,
): PreemptionRule | undefined => {
    const { options } = context;
    const { spec } = job;
    const limit = options.boundedPreemption ? withinLossLimit(context, job) : () => true;
    if (options.preemptForLargeGang && isFirstLargeGang && isLargeGang(spec)) {
        if (!options.boundedPreemption) {
            return ranksBelow(spec);
        }
        if (isFirstOfItsRank(context, job)) {
            return hasOlderNonPreemptibleWork(context, job) ? allOf(ranksBelow(spec), limit) : ranksBelow(spec);
        }
    }
    if (options.preemptForNeededBy && wouldMissNeededBy(context, job)) {
        return ranksBelow(spec);
    }
    if (options.preemptForInteractive && CLASS_RANK[spec.workClass] <= CLASS_RANK.interactive) {
        return allOf(
            victim => CLASS_RANK[victim.workClass] - CLASS_RANK[spec.workClass] >= MIN_CLASS_RANK_GAP,
            limit,
        );
    }
    return undefined;
};
