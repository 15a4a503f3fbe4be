import type { GangShape } from "@persimmonpitch/schema/gang.js";
import type { JobSpec, WorkClass } from "@persimmonpitch/schema/job.js";

/** Rank of each class, from the most urgent. */
export const CLASS_RANK: Readonly<Record<WorkClass, number>> = {
    urgent: 0,
    interactive: 1,
    standard: 2,
    batch: 3,
    bestEffort: 4,
};

/** Whether the job can safely be stopped and started again. */
export const isPreemptible = ({ idempotent, checkpointable }: JobSpec): boolean => idempotent || checkpointable;

/** Total accelerators of a gang. */
export const gangAccelerators = ({ vms, acceleratorsPerVm }: GangShape): number => vms * acceleratorsPerVm;
