import type { Millis } from "@persimmonpitch/clock/clock.js";
import { stepKeys } from "@persimmonpitch/workload/stepKeys.js";
import { coreEquivalent } from "./demand.js";
import { byPriority } from "./dispatchOptions.js";
import type { ExecutorResources } from "./executorResources.js";
import { type OccurrenceForecast, occurrenceId } from "./occurrenceForecasts.js";
import { progressOf } from "./openOccurrences.js";
import type { PassState } from "./passState.js";
import type { RunGroup } from "./runGroups.js";
import type { RankedUnit } from "./unitOrder.js";
import type { StopCost, Victim } from "./victims.js";

/** Fixed cost of stopping one run: the orders that it needs and the restart of the task. */
const COST_PER_STOP = 0.02;

/** Expected time from the stop of a task until it starts again. */
const RESTART_WAIT_MS = 1_000;

/** What may be stopped. */
export interface VictimLimits {
    /** Work of the unit's own priority that has no guarantee. */
    readonly mayStopUrgent: boolean;
    /** Runs whose task was started more than `maxPreemptedRuns` times. */
    readonly mayStopRepeated: boolean;
}

/**
 * Time of work that each member of a group loses if the group is stopped. With checkpoints it is the time since the
 * last one, so that runs that have just saved their work are stopped first.
 */
const unsavedMs = (
    { view: { now, timings: { checkpointIntervalMs } }, options }: PassState,
    { step, workingSince }: RunGroup,
): Millis => {
    const elapsedMs = Math.max(0, now - (workingSince ?? now));
    if (!step.hasCheckpoints) {
        return elapsedMs;
    }
    return options.countsTimeSinceCheckpoint
        ? elapsedMs % checkpointIntervalMs
        : Math.min(elapsedMs, checkpointIntervalMs);
};

/** Number of tasks that a stop of the group ends. All members of a gang end, also those that no executor lists yet. */
const stoppedTasks = ({ step, members }: RunGroup): number => step.isGang ? step.count : members.length;

/** Number of starts of the group before its current run. */
const earlierStarts = ({ members }: RunGroup): number =>
    members.reduce((most, { run: { run } }) => Math.max(most, run - 1), 0);

/** Mean number of earlier starts of the tasks of a step that were started. */
const meanEarlierStarts = ({ view, occurrence, stepIndex, step }: RunGroup): number => {
    const sum = stepKeys(step, occurrence, stepIndex)
        .reduce((total, key) => total + Math.max(0, progressOf(view, key).run - 1), 0);
    return sum / step.count;
};

/** Value that an occurrence loses if it is delayed. */
const delayCost = (
    state: PassState,
    { view }: RunGroup,
    forecast: OccurrenceForecast | undefined,
    delayMs: Millis,
): number => {
    if (forecast === undefined) {
        return 0;
    }
    const lateValueShare = byPriority(state.options.lateValueShareByPriority, view.queue.priority);
    const { slackMs, lateSlackMs, value } = forecast;
    if (slackMs >= 0 && slackMs < delayMs) {
        return value * (1 - lateValueShare);
    }
    return slackMs < 0 && lateSlackMs >= 0 && lateSlackMs < delayMs ? value * lateValueShare : 0;
};

/**
 * Cost of stopping a group: a fixed cost per task, the lost work of all its tasks, and the value that its occurrence may
 * lose; for the choice of victims also a share of a whole run for each earlier start. Without that, a job that has just
 * restarted would always be the cheapest victim and never end.
 */
const stopCost = (state: PassState, group: RunGroup): StopCost => {
    const { options, forecasts, view, runTimes } = state;
    const { step, stepIndex } = group;
    const tasks = stoppedTasks(group);
    const lostMs = unsavedMs(state, group) + (step.hasCheckpoints ? view.timings.restoreMs : 0);
    const workCost = (timeMs: Millis): number =>
        options.lostCoreSecondCost * tasks * coreEquivalent(step.demand) * timeMs / 1_000;
    const loss = COST_PER_STOP * tasks
        + workCost(lostMs)
        + delayCost(state, group, forecasts.get(occurrenceId(group)), lostMs + RESTART_WAIT_MS);
    const repeats = earlierStarts(group) + (step.isGang ? 0 : meanEarlierStarts(group));
    const repeatedMs = options.repeatedStopShare * repeats * runTimes.stepMs(group.view, stepIndex);
    return { loss, cost: loss + COST_PER_STOP * tasks * repeats + workCost(repeatedMs) };
};

const cachedStopCost = (state: PassState, group: RunGroup): StopCost => {
    const cost = state.stopCosts.get(group) ?? stopCost(state, group);
    state.stopCosts.set(group, cost);
    return cost;
};

/** Whether as many tasks of a long-running step are not running, or about to be stopped, as `mayMiss` allows. */
const isAtAbsenceLimit = ({ view, occurrence, stepIndex, step }: RunGroup, absent: ReadonlySet<string>): boolean => {
    if (!step.isLongRunning || step.mayMiss === undefined) {
        return false;
    }
    const absentKeys = stepKeys(step, occurrence, stepIndex)
        .filter(key => progressOf(view, key).placement === undefined || absent.has(`${view.job.jobId} ${key}`));
    return absentKeys.length >= step.mayMiss;
};

/** Tasks whose runs are being stopped, by job and key. */
const absentTasks = ({ groups, stopped }: PassState): ReadonlySet<string> =>
    new Set(
        groups
            .filter(group => group.isStopping || stopped.has(group))
            .flatMap(({ view, members }) => members.map(({ run }) => `${view.job.jobId} ${run.key}`)),
    );

/** Drops victims of long-running steps beyond the number that `mayMiss` allows. */
const withinAbsenceLimit = (victims: readonly Victim[], absent: ReadonlySet<string>): readonly Victim[] => {
    const absentOrChosen = new Set(absent);
    return victims.filter(({ group }) => {
        if (isAtAbsenceLimit(group, absentOrChosen)) {
            return false;
        }
        if (group.step.isLongRunning) {
            group.members.forEach(({ run }) => absentOrChosen.add(`${group.view.job.jobId} ${run.key}`));
        }
        return true;
    });
};

const isRepeated = ({ options }: PassState, group: RunGroup): boolean =>
    earlierStarts(group) >= options.maxPreemptedRuns;

/** Whether some run was restarted too often to be stopped while there are other victims. */
export const hasRepeatedRuns = (state: PassState): boolean => state.groups.some(group => isRepeated(state, group));

/** The groups on the executors that may be stopped for the unit. Guaranteed work is never stopped. */
export const victimsFor = (
    state: PassState,
    { unit }: RankedUnit,
    executors: readonly ExecutorResources[],
    { mayStopUrgent, mayStopRepeated }: VictimLimits,
): readonly Victim[] => {
    const { priority } = unit.openOccurrence.view.queue;
    const isLower = ({ view }: RunGroup): boolean => view.queue.priority > priority || mayStopUrgent;
    const groups = new Set(executors.flatMap(({ index }) => state.groupsByExecutor.get(index) ?? []));
    const victims = [...groups]
        .filter(group =>
            !group.isStopping
            && !state.stopped.has(group)
            && isLower(group)
            && (mayStopRepeated || !isRepeated(state, group))
            && !state.guaranteed.has(occurrenceId(group))
        )
        .map(group => ({ group, ...cachedStopCost(state, group) }));
    const areLimited = victims.some(({ group: { step } }) => step.mayMiss !== undefined);
    return areLimited ? withinAbsenceLimit(victims, absentTasks(state)) : victims;
};
