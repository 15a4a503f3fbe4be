import type { JobSpec } from "@persimmonpitch/schema/job.js";
import type { QueuedJob } from "./clusterView.js";
import { CLASS_RANK, gangAccelerators } from "./jobTraits.js";
import type { PassContext } from "./passContext.js";

/** Accelerators from which a gang counts as large; section 12 bounds the wait of gangs from this size. */
export const LARGE_GANG_ACCELERATORS = 16;

/** Classes between a waiting interactive job and the work that it may stop. */
const INTERACTIVE_CLASS_GAP = 2;

/** Whether work of this spec may be stopped. */
export type MayStop = (victim: JobSpec) => boolean;

/** Whether the wait of the gang is bounded. */
export const isLargeGang = ({ gang }: JobSpec): boolean => gangAccelerators(gang) >= LARGE_GANG_ACCELERATORS;

/**
 * Work that ranks below the job in a strict order, so that two jobs can never stop each other in turn: by class, then
 * needed-by time or none, then size.
 */
const rankedBelow = (job: JobSpec): MayStop => {
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

const wouldBeLate = ({ estimates, view }: PassContext, job: QueuedJob): boolean => {
    const { neededBy } = job.spec;
    return neededBy !== undefined && neededBy > view.now && view.now + estimates.cautious(job) >= neededBy;
};

/** What a job without a guarantee may stop; nothing when it has to wait for others to end. */
export const preemptionRight = (
    context: PassContext,
    job: QueuedJob,
    isFirstLargeGang: boolean,
): MayStop | undefined => {
    const { options } = context;
    const { spec } = job;
    if (
        (options.preemptForLargeGang && isFirstLargeGang && isLargeGang(spec))
        || (options.preemptForNeededBy && wouldBeLate(context, job))
    ) {
        return rankedBelow(spec);
    }
    if (options.preemptForInteractive && CLASS_RANK[spec.workClass] <= CLASS_RANK.interactive) {
        return victim => CLASS_RANK[victim.workClass] - CLASS_RANK[spec.workClass] >= INTERACTIVE_CLASS_GAP;
    }
    return undefined;
};
