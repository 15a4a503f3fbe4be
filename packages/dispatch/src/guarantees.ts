import type { DispatchView, JobView } from "./dispatchView.js";
import { occurrenceId } from "./occurrenceForecasts.js";
import type { OpenOccurrence } from "./openOccurrences.js";
import type { ReadyUnit } from "./readyUnits.js";

/** Accelerators that an occurrence can still use at one time: those of its largest step that is not done. */
export const neededAccelerators = ({ view, doneSteps }: OpenOccurrence): number =>
    view.job.steps.reduce(
        (most, { count, demand }, index) =>
            doneSteps[index] === true ? most : Math.max(most, count * demand.accelerators),
        0,
    );

/** Order in which occurrences use up the guarantees of their teams. It does not change between passes. */
export const compareByStart = (left: OpenOccurrence, right: OpenOccurrence): number =>
    left.startAt - right.startAt
    || (left.view.job.jobId < right.view.job.jobId ? -1 : Number(left.view.job.jobId > right.view.job.jobId))
    || left.occurrence - right.occurrence;

/** Ids of the occurrences of priority 0 that, oldest first, fit within the guaranteed accelerators of their teams. */
export const guaranteedOccurrences = (
    { teams }: Pick<DispatchView, "teams">,
    occurrences: readonly OpenOccurrence[],
): ReadonlySet<string> => {
    const unusedByTeam = new Map(teams.map(({ name, guaranteedAccelerators }) => [name, guaranteedAccelerators]));
    const isUrgent = ({ job, queue }: JobView): boolean =>
        queue.priority === 0 && job.team !== undefined && (unusedByTeam.get(job.team) ?? 0) > 0;
    const guaranteed = new Set<string>();
    for (const openOccurrence of occurrences.filter(({ view }) => isUrgent(view)).sort(compareByStart)) {
        const team = openOccurrence.view.job.team ?? "";
        const unusedAfter = (unusedByTeam.get(team) ?? 0) - neededAccelerators(openOccurrence);
        if (unusedAfter >= 0) {
            unusedByTeam.set(team, unusedAfter);
            guaranteed.add(occurrenceId(openOccurrence));
        }
    }
    return guaranteed;
};

/**
 * Whether the unit belongs to the first step of a guaranteed occurrence, which has to start within the reclaim time.
 */
export const isGuaranteedStart = (
    guaranteed: ReadonlySet<string>,
    { openOccurrence, stepIndex }: ReadyUnit,
): boolean => stepIndex === 0 && guaranteed.has(occurrenceId(openOccurrence));
