import type { TrackedRun } from "./executorState.js";

/**
 * Whether an order to start the run may reach another incarnation of the executor than the one it was sent for, as both
 * have the same ID. That is ruled out once all orders are answered and the intended incarnation has listed the run.
 */
export const mayStartAfterRestart = (tracked: TrackedRun): boolean => {
    const { unansweredStarts, firstListedAt, isInherited, startAnswerClockMs } = tracked;
    const isUnconfirmed = firstListedAt === undefined && (isInherited || startAnswerClockMs !== undefined);
    return unansweredStarts > 0 || isUnconfirmed;
};

/**
 * The tracked run after a restart of its executor: what the previous incarnation answered or listed no longer applies,
 * while orders that were not answered may still take effect.
 */
export const carriedOver = (tracked: TrackedRun): TrackedRun => ({
    jobId: tracked.jobId,
    key: tracked.key,
    task: tracked.task,
    run: tracked.run,
    executorId: tracked.executorId,
    born: tracked.born,
    demand: tracked.demand,
    isBackground: tracked.isBackground,
    servingTargetMs: tracked.servingTargetMs,
    orderedAt: tracked.orderedAt,
    isInherited: tracked.isInherited,
    isCarriedOver: true,
    unansweredStarts: tracked.unansweredStarts,
    ...(tracked.startSentAt === undefined ? {} : { startSentAt: tracked.startSentAt }),
    isClaimDurable: tracked.isClaimDurable,
    isAwaitingRenewal: false,
    isStopping: tracked.isStopping,
    isStopSent: false,
    isTaskDone: tracked.isTaskDone,
});
