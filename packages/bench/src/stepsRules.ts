import type { DayResult } from "./stepsReplay.js";
import type { Day, DayJob } from "./stepsTraceSchema.js";

const demandOf = ({ job }: DayJob): number =>
    job.steps.reduce((most, { count, demand }) => Math.max(most, count * demand.accelerators), 0);

/**
 * Jobs of priority 0 that had to start in the time of their team's guarantee and did not.
 * A job counts as within the guarantee if all open jobs of priority 0 of the team together were when it came.
 */
export const lateGuarantees = (day: Day, { records }: DayResult): readonly string[] => {
    const urgentQueues = new Set(day.queues.filter(({ priority }) => priority === 0).map(({ name }) => name));
    const urgent = day.jobs.filter(({ job }) => urgentQueues.has(job.queue));
    const guaranteed = new Map(day.teams.map(({ name, guaranteedAccelerators }) => [name, guaranteedAccelerators]));
    return urgent.flatMap(one => {
        const { jobId, team = "", acceptedAt } = one.job;
        const open = urgent.filter(({ job }) =>
            job.team === team
            && job.acceptedAt <= acceptedAt
            && (records.get(job.jobId)?.endedAt ?? Infinity) > acceptedAt
        );
        const claimed = open.reduce((sum, other) => sum + demandOf(other), 0);
        const waitedMs = (records.get(jobId)?.firstStepAt ?? Infinity) - acceptedAt;
        return claimed <= (guaranteed.get(team) ?? 0) && waitedMs > day.timings.reclaimMs
            ? [`${jobId} of ${team} started after ${waitedMs} ms`]
            : [];
    });
};
