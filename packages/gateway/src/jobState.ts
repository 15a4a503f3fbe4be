import type { JobProgress } from "@persimmonpitch/workload/progress.js";
import type { JobState } from "@persimmonpitch/workload/stepJob.js";

/** The state that requesters see; an end that is durable goes before a later cancellation. */
export const jobStateOf = (progress: JobProgress | undefined, isCancelled: boolean): JobState => {
    if (progress !== undefined && progress.outcome !== "open") {
        return progress.outcome;
    }
    if (isCancelled) {
        return "cancelled";
    }
    const isStarted = Object.values(progress?.tasks ?? {}).some(({ run }) => run > 0);
    return isStarted ? "running" : "queued";
};
