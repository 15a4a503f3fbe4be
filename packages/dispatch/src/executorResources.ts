import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { Demand } from "@persimmonpitch/workload/step.js";
import { addTo, countedDemand, type MutableDemand, noDemand, slotsIn } from "./demand.js";
import type { DispatchView, ExecutorView } from "./dispatchView.js";
import type { ExecutorHealth } from "./executorHealth.js";
import { type ReadyUnit, tasksAtOnce } from "./readyUnits.js";
import type { RunSteps } from "./runGroups.js";
import { stepId } from "./stepId.js";

/** Resources reserved from a future time on for units that do not fit yet. */
export interface Reservation {
    startsInMs: Millis;
    /** Resources of the reserving units. */
    readonly reserved: MutableDemand;
    /** Resources that will then be free for other work. */
    readonly spare: MutableDemand;
}

/** Free and reserved resources of one executor, which a pass updates with its decisions. */
export interface ExecutorResources {
    readonly index: number;
    readonly view: ExecutorView;
    readonly rack: string;
    health: ExecutorHealth;
    /** How many times longer than normal a task takes. */
    readonly slowness: number;
    /** Resources that no run holds now. */
    readonly free: MutableDemand;
    /** Resources held by runs that were ordered to stop. */
    readonly releasing: MutableDemand;
    /** Part of the free and releasing resources that is claimed by units of better rank. */
    readonly claimed: MutableDemand;
    reservation: Reservation | undefined;
    /** Number of runs, including those that this pass starts. */
    taskCount: number;
    /** Number of tasks on the executor of each step with a limit per executor. */
    readonly tasksOfStep: Map<string, number>;
    /** Called with each change, so that an index of executors can update itself. */
    onChanged: () => void;
    /** How often the pass evaluated the executor; tests check how this grows with the number of executors. */
    visits: number;
}

const countTasks = ({ tasksOfStep }: ExecutorResources, id: string, count: number): void => {
    tasksOfStep.set(id, (tasksOfStep.get(id) ?? 0) + count);
};

/** An executor without a rack counts as a rack of its own. */
const rackOf = ({ rack, vm }: ExecutorView): string => rack ?? `vm ${vm}`;

const subtractRuns = (executor: ExecutorResources, runSteps: RunSteps): void => {
    for (const [index, run] of executor.view.runs.entries()) {
        const runStep = runSteps[executor.index]?.[index];
        const demand = runStep === undefined ? run.demand : countedDemand(runStep.step);
        addTo(executor.free, demand, -1);
        if (runStep?.step.maxPerExecutor !== undefined) {
            countTasks(executor, stepId(runStep.view, runStep.occurrence, runStep.stepIndex), 1);
        }
        if (run.isStopping) {
            addTo(executor.releasing, demand);
        }
    }
};

/** The resources of all executors before the first decision of a pass. */
export const executorResources = (
    { executors, slowness }: DispatchView,
    runSteps: RunSteps,
    healthOf: (index: number) => ExecutorHealth,
): readonly ExecutorResources[] =>
    executors.map((view, index) => {
        const executor: ExecutorResources = {
            index,
            view,
            rack: rackOf(view),
            health: healthOf(index),
            slowness: slowness?.get(view.vm) ?? 1,
            free: { ...view.capacity },
            releasing: noDemand(),
            claimed: noDemand(),
            reservation: undefined,
            taskCount: view.runs.length,
            tasksOfStep: new Map(),
            onChanged: () => undefined,
            visits: 0,
        };
        subtractRuns(executor, runSteps);
        return executor;
    });

/** Unclaimed resources once the runs that were ordered to stop have ended. */
export const freeAfterStops = (executor: ExecutorResources): MutableDemand => {
    const { free, releasing, claimed } = executor;
    executor.visits += 1;
    return {
        milliCores: free.milliCores + releasing.milliCores - claimed.milliCores,
        memoryMb: free.memoryMb + releasing.memoryMb - claimed.memoryMb,
        accelerators: free.accelerators + releasing.accelerators - claimed.accelerators,
    };
};

/** The lesser amount of each resource. */
const smaller = (left: Demand, right: Demand): MutableDemand => ({
    milliCores: Math.min(left.milliCores, right.milliCores),
    memoryMb: Math.min(left.memoryMb, right.memoryMb),
    accelerators: Math.min(left.accelerators, right.accelerators),
});

/**
 * Resources that work of the given duration at normal speed may use now without delaying units with claims or
 * reservations.
 */
export const freeForDuration = (executor: ExecutorResources, durationMs: Millis): MutableDemand => {
    const unclaimed = smaller(executor.free, freeAfterStops(executor));
    const { reservation } = executor;
    return reservation === undefined || durationMs * executor.slowness <= reservation.startsInMs
        ? unclaimed
        : smaller(unclaimed, reservation.spare);
};

/** Whether the executor may run tasks of the unit, regardless of advice. */
export const isEligible = ({ view }: ExecutorResources, { openOccurrence, step }: ReadyUnit): boolean =>
    view.takesWork
    && view.service === openOccurrence.view.queue.service
    && (step.requiredLabel === undefined || view.labels.includes(step.requiredLabel));

/** Whether the executor may run tasks of the unit, and advice for it is valid if required. */
export const accepts = (executor: ExecutorResources, unit: ReadyUnit): boolean => {
    executor.visits += 1;
    return isEligible(executor, unit) && (unit.allowed?.has(executor.view.executorId) ?? true);
};

/** Number of slots that may be used, by the health of the executor. */
const SLOTS_BY_HEALTH: {
    readonly [K in ExecutorHealth]: (slots: number, executor: ExecutorResources, unit: ReadyUnit) => number;
} = {
    healthy: slots => slots,
    suspect: slots => slots,
    probing: (slots, { taskCount }, { step }) => {
        if (taskCount > 0) {
            return 0;
        }
        return step.isGang ? slots : Math.min(1, slots);
    },
    failing: () => 0,
};

/** Number of tasks of the unit that the executor holds when it runs nothing else. */
export const slotsWhenEmpty = ({ view, health }: ExecutorResources, { step, demand }: ReadyUnit): number =>
    health === "failing" ? 0 : Math.min(slotsIn(view.capacity, demand), step.maxPerExecutor ?? Infinity);

/** Number of tasks of the unit that fit into the available resources of an executor. */
export const slotsFor = (executor: ExecutorResources, unit: ReadyUnit, available: Demand): number => {
    const { maxPerExecutor } = unit.step;
    executor.visits += 1;
    const slots = slotsIn(available, unit.demand);
    const limit = maxPerExecutor === undefined
        ? slots
        : Math.max(0, maxPerExecutor - (executor.tasksOfStep.get(unit.stepId) ?? 0));
    return SLOTS_BY_HEALTH[executor.health](Math.min(slots, limit), executor, unit);
};

/**
 * Whether the executors hold the tasks of the unit that have to start together, by the slots on each. Ends at the first
 * executors that suffice.
 */
export const holdTogether = (
    executors: readonly ExecutorResources[],
    unit: ReadyUnit,
    slotsOn: (executor: ExecutorResources) => number,
): boolean => {
    let missing = tasksAtOnce(unit);
    return executors.some(executor => {
        missing -= slotsOn(executor);
        return missing <= 0;
    });
};

/** Allocates resources to tasks that start now and have the given duration at normal speed. */
export const allocate = (executor: ExecutorResources, unit: ReadyUnit, count: number, durationMs: Millis): void => {
    executor.onChanged();
    addTo(executor.free, unit.demand, -count);
    executor.taskCount += count;
    if (unit.step.maxPerExecutor !== undefined) {
        countTasks(executor, unit.stepId, count);
    }
    if (executor.reservation !== undefined && durationMs * executor.slowness > executor.reservation.startsInMs) {
        addTo(executor.reservation.spare, unit.demand, -count);
    }
};

/** Claims free and releasing resources for tasks that start as soon as they fit. */
export const claimResources = (executor: ExecutorResources, { demand }: ReadyUnit, count: number): void => {
    executor.onChanged();
    addTo(executor.claimed, demand, count);
    if (executor.reservation !== undefined) {
        addTo(executor.reservation.spare, demand, -count);
    }
};
