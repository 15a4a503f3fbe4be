import { criticalPathMs } from "@persimmonpitch/dispatch/criticalPath.js";
import { DEFAULT_DISPATCH_OPTIONS } from "@persimmonpitch/dispatch/dispatchOptions.js";
import type { DispatchView, ExecutorView, JobView } from "@persimmonpitch/dispatch/dispatchView.js";
import { guaranteedOccurrences, neededAccelerators } from "@persimmonpitch/dispatch/guarantees.js";
import type { OccurrenceForecast } from "@persimmonpitch/dispatch/occurrenceForecasts.js";
import { countUnplacedTasks, forecastOccurrences, occurrenceId } from "@persimmonpitch/dispatch/occurrenceForecasts.js";
import type { OpenOccurrence } from "@persimmonpitch/dispatch/openOccurrences.js";
import { openOccurrences } from "@persimmonpitch/dispatch/openOccurrences.js";
import { findRunSteps, runGroups } from "@persimmonpitch/dispatch/runGroups.js";
import type { RunTimes } from "@persimmonpitch/dispatch/runTimes.js";
import { estimateRunTimes } from "@persimmonpitch/dispatch/runTimes.js";
import { stepWaves } from "@persimmonpitch/dispatch/stepWaves.js";
import { priorityClassOf, valuePerWork } from "./jobWork.js";
import type { LoadRow, PriorityLoad, ServiceLoad } from "./loadRow.js";

/** Published values per accelerator-second are multiples of one millionth, which keeps the row small. */
const VALUE_STEPS = 1_000_000;

type MutableLoad = { -readonly [K in keyof PriorityLoad]: PriorityLoad[K]; } & { jobs: number; };

const emptyLoad = (priority: number): MutableLoad => ({
    priority,
    running: 0,
    waiting: 0,
    hopeless: 0,
    guaranteed: 0,
    pathMs: 0,
    leastValue: undefined,
    jobs: 0,
});

/** Rounds down, so that a job whose value is as low counts as the more valuable one. */
const roundDown = (value: number): number => Math.floor(value * VALUE_STEPS) / VALUE_STEPS;

/** Loads by service and priority, created when first asked for. */
class LoadTable {
    private readonly byService = new Map<string, Map<number, MutableLoad>>();

    loadOf({ service, priority }: JobView["queue"]): MutableLoad {
        const byPriority = this.byService.get(service) ?? new Map<number, MutableLoad>();
        this.byService.set(service, byPriority);
        const priorityClass = priorityClassOf(priority);
        const load = byPriority.get(priorityClass) ?? emptyLoad(priorityClass);
        byPriority.set(priorityClass, load);
        return load;
    }

    prioritiesOf(service: string): readonly PriorityLoad[] {
        const loads = [...this.byService.get(service)?.values() ?? []];
        return loads
            .sort((left, right) => left.priority - right.priority)
            .map(({ jobs, leastValue, ...load }) => ({
                ...load,
                running: Math.round(load.running),
                waiting: Math.round(load.waiting),
                hopeless: Math.round(load.hopeless),
                pathMs: Math.round(load.pathMs / Math.max(1, jobs)),
                ...(leastValue === undefined ? {} : { leastValue: roundDown(leastValue) }),
            }));
    }
}

const isStarted = ({ progress }: JobView): boolean => Object.values(progress.tasks).some(({ run }) => run > 0);

const addOccurrence = (
    load: MutableLoad,
    openOccurrence: OpenOccurrence,
    { deadlineStatus }: OccurrenceForecast,
    runTimes: RunTimes,
    largestExecutor: number,
): void => {
    const { view, doneSteps } = openOccurrence;
    const { steps } = view.job;
    const isUsable = deadlineStatus !== "hopeless"
        && steps.every(({ demand }) => demand.accelerators <= largestExecutor);
    let total = 0;
    steps.forEach((step, index) => {
        if (step.isLongRunning) {
            return;
        }
        const secondsPerTask = step.demand.accelerators * runTimes.stepMs(view, index) / 1_000;
        total += step.count * secondsPerTask;
        if (doneSteps[index] === true) {
            return;
        }
        const unplaced = countUnplacedTasks(openOccurrence, index);
        load[isUsable ? "waiting" : "hopeless"] += unplaced * secondsPerTask;
    });
    load.jobs += 1;
    load.pathMs += criticalPathMs(
        view.job,
        index => steps[index]?.isLongRunning === true ? 0 : runTimes.stepMs(view, index),
    );
    if (isUsable && total > 0 && !isStarted(view)) {
        load.leastValue = Math.min(load.leastValue ?? Infinity, valuePerWork(view.queue.priority, total));
    }
};

const usedAccelerators = ({ runs }: ExecutorView): number =>
    runs.reduce((sum, { demand }) => sum + demand.accelerators, 0);

const capacityOf = (executors: readonly ExecutorView[]): Omit<ServiceLoad, "name" | "priorities"> => ({
    // An executor that takes no work still works off what runs on it.
    totalAccelerators: executors
        .filter(({ takesWork, runs }) => takesWork || runs.length > 0)
        .reduce((sum, { capacity }) => sum + Math.max(0, capacity.accelerators), 0),
    freeAccelerators: executors
        .filter(({ takesWork }) => takesWork)
        .reduce((sum, executor) => sum + Math.max(0, executor.capacity.accelerators - usedAccelerators(executor)), 0),
    largestExecutor: executors.reduce((most, { capacity }) => Math.max(most, capacity.accelerators), 0),
});

/**
 * Summarises accelerators and accepted work by service and priority. It addresses a saturated cluster, whose entries
 * have to know how much work is ahead of a new job.
 */
export const summarizeLoad = (view: DispatchView, epoch: number): LoadRow => {
    const { executors, jobs, samples, now, wallTime } = view;
    const jobsById = new Map(jobs.map(job => [job.job.jobId, job]));
    const occurrences = openOccurrences(jobs, now, wallTime);
    const groups = runGroups(executors, findRunSteps(executors, jobsById));
    const runTimes = estimateRunTimes(jobs, groups, samples, now);
    const forecasts = forecastOccurrences(
        occurrences,
        groups,
        runTimes,
        stepWaves(executors),
        now,
        DEFAULT_DISPATCH_OPTIONS,
    );
    const guaranteed = guaranteedOccurrences(view, occurrences);
    const services = [...new Set(executors.map(({ service }) => service))].map(name => ({
        name,
        ...capacityOf(executors.filter(({ service }) => service === name)),
    }));
    const largestByService = new Map(services.map(({ name, largestExecutor }) => [name, largestExecutor]));
    const table = new LoadTable();
    for (const openOccurrence of occurrences) {
        const { queue } = openOccurrence.view;
        const load = table.loadOf(queue);
        const id = occurrenceId(openOccurrence);
        const forecast = forecasts.get(id);
        if (forecast !== undefined) {
            addOccurrence(load, openOccurrence, forecast, runTimes, largestByService.get(queue.service) ?? 0);
        }
        load.guaranteed += guaranteed.has(id) ? neededAccelerators(openOccurrence) : 0;
    }
    for (const group of groups) {
        if (!group.step.isLongRunning) {
            const accelerators = group.members.length * group.step.demand.accelerators;
            table.loadOf(group.view.queue).running += accelerators * runTimes.remainingMs(group) / 1_000;
        }
    }
    return {
        epoch,
        at: Math.round(now),
        services: services.map(service => ({ ...service, priorities: [...table.prioritiesOf(service.name)] })),
    };
};
