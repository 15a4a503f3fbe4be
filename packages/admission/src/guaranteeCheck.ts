import type { JobView } from "@persimmonpitch/dispatch/dispatchView.js";
import { guaranteedOccurrences } from "@persimmonpitch/dispatch/guarantees.js";
import { occurrenceId } from "@persimmonpitch/dispatch/occurrenceForecasts.js";
import { openOccurrences } from "@persimmonpitch/dispatch/openOccurrences.js";
import type { Team } from "@persimmonpitch/workload/clusterConfig.js";

/** Whether the controller would count the new job as guaranteed beside the open jobs of its team. */
export const isWithinGuarantee = (
    teams: readonly Team[],
    openJobs: readonly JobView[],
    candidate: JobView,
    wallTime: number,
): boolean => {
    const { acceptedAt } = candidate.job;
    const occurrences = openOccurrences([...openJobs, candidate], acceptedAt, wallTime);
    return guaranteedOccurrences({ teams }, occurrences).has(occurrenceId({ view: candidate, occurrence: 0 }));
};
