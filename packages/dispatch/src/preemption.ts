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
import type { Victim } from "./victims.js";

/** Fixed cost of stopping one run: the orders that it needs and the restart of the task. */
const COST_PER_STOP = 0.02;

/** Expected time from the stop of a task until it starts again. */
const RESTART_WAIT_MS = 1_000;

/** Time of work that each member of a group loses if the group is stopped. */
const unsavedMs = ({ view: { now, timings } }: PassState, { step, workingSince }: RunGroup): Millis => {
    const elapsedMs = Math.max(0, now - (workingSince ?? now));
    return step.hasCheckpoints ? Math.min(elapsedMs, timings.checkpointIntervalMs) : elapsedMs;
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

/** Cost of stopping a group: a fixed cost per member, the lost work, and the value that its occurrence may lose. */
const stopCost = (state: PassState, group: RunGroup): number => {
    const { options, forecasts, view } = state;
    const { step, members } = group;
    const lostMs = unsavedMs(state, group) + (step.hasCheckpoints ? view.timings.restoreMs : 0);
    const lostWork = members.length * coreEquivalent(step.demand) * lostMs / 1_000;
    return COST_PER_STOP * members.length
        + options.lostCoreSecondCost * lostWork
        + delayCost(state, group, forecasts.get(occurrenceId(group)), lostMs + RESTART_WAIT_MS);
};

const cachedStopCost = (state: PassState, group: RunGroup): number => {
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

/** The groups on the executors that may be stopped for the unit. Guaranteed work is never stopped. */
export const victimsFor = (
    state: PassState,
    { unit }: RankedUnit,
    executors: readonly ExecutorResources[],
    mayStopUrgent: boolean,
): readonly Victim[] => {
    const { priority } = unit.openOccurrence.view.queue;
    const isLower = ({ view }: RunGroup): boolean => view.queue.priority > priority || mayStopUrgent;
    const groups = new Set(executors.flatMap(({ index }) => state.groupsByExecutor.get(index) ?? []));
    const victims = [...groups]
        .filter(group =>
            !group.isStopping
            && !state.stopped.has(group)
            && isLower(group)
            && !state.guaranteed.has(occurrenceId(group))
        )
        .map(group => ({ group, cost: cachedStopCost(state, group) }));
    const areLimited = victims.some(({ group: { step } }) => step.mayMiss !== undefined);
    return areLimited ? withinAbsenceLimit(victims, absentTasks(state)) : victims;
};
