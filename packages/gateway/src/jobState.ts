import type { JobProgress } from "@persimmonpitch/workload/progress.js";
import type { JobState } from "@persimmonpitch/workload/stepJob.js";

/** Job state as reported to requesters. A stored outcome takes precedence over a later cancellation. */
export const deriveJobState = (progress: JobProgress | undefined, isCancelled: boolean): JobState => {
    if (progress !== undefined && progress.outcome !== "open") {
        return progress.outcome;
    }
    if (isCancelled) {
        return "cancelled";
    }
    const hasStartedTask = progress?.split?.isStarted
        ?? Object.values(progress?.tasks ?? {}).some(({ run }) => run > 0);
    return hasStartedTask ? "running" : "queued";
};
