import type { Demand } from "@persimmonpitch/workload/step.js";
import { stepKeys } from "@persimmonpitch/workload/stepKeys.js";
import { parseTaskName, taskKey, taskName } from "@persimmonpitch/workload/taskName.js";
import type { DispatchDecision, DispatchView, JobView, RunView } from "../src/dispatchView.js";
import { progressOf } from "../src/openOccurrences.js";

const stepOfKey = (view: JobView, key: string) => {
    const position = parseTaskName(taskName(view.job.jobId, key));
    const step = view.job.steps[position?.step ?? -1];
    if (position === undefined || step === undefined) {
        throw new Error(`no step for ${key}`);
    }
    return { ...position, step };
};

/** Executors whose capacity the starts exceed. A random view may exceed a capacity before anything starts. */
const capacityBreaches = (
    view: DispatchView,
    starts: readonly { readonly jobId: string; readonly key: string; readonly vm: string; }[],
) => view.executors.flatMap(({ vm, capacity, runs }) => {
    const demandOf = ({ jobId, key }: { readonly jobId: string; readonly key: string; }): Demand => {
        const job = view.jobs.find(one => one.job.jobId === jobId);
        const step = job && stepOfKey(job, key).step;
        return step === undefined ? capacity : { ...step.demand, ...step.usesIdleCores && { milliCores: 0 } };
    };
    const demandOfRun = (run: RunView): Demand =>
        view.jobs.some(({ job: { jobId } }) => jobId === run.jobId) ? demandOf(run) : run.demand;
    const sum = (demands: readonly Demand[], resource: keyof Demand): number =>
        demands.reduce((total, demand) => total + demand[resource], 0);
    const added = starts.filter(start => start.vm === vm).map(demandOf);
    const used = [...runs.map(demandOfRun), ...added];
    return (["milliCores", "memoryMb", "accelerators"] as const)
        .filter(resource => sum(added, resource) > 0 && sum(used, resource) > capacity[resource])
        .map(resource => `${resource} of ${vm} exceeded`);
});

/** Breaches of the rules on capacity, readiness, choice of executors and whole gangs in the decisions of one pass. */
export const ruleBreaches = (view: DispatchView, decisions: readonly DispatchDecision[]): readonly string[] => {
    const jobs = new Map(view.jobs.map(job => [job.job.jobId, job]));
    const starts = decisions.flatMap(one =>
        one.kind === "start" ? one.tasks.map(task => ({ ...task, jobId: one.jobId })) : []
    );
    const breaches: string[] = [...capacityBreaches(view, starts)];
    const check = (isMet: boolean, breach: string): void => {
        breaches.push(...isMet ? [] : [breach]);
    };
    for (const decision of decisions) {
        const job = jobs.get(decision.jobId);
        if (job === undefined) {
            breaches.push(`${decision.jobId} is not open`);
            continue;
        }
        const name = `${decision.kind} ${decision.jobId}`;
        const keys = decision.kind === "start" ? decision.tasks.map(({ key }) => key) : [decision.key];
        const { step, step: { after }, occurrence, step: { count } } = stepOfKey(job, keys[0] ?? "");
        const stepIndex = job.job.steps.indexOf(step);
        if (decision.kind === "stop") {
            const placed = stepKeys(step, occurrence, stepIndex).filter(key =>
                progressOf(job, key).placement !== undefined
            );
            const stopped = decisions.filter(one =>
                one.kind === "stop" && one.jobId === decision.jobId && placed.includes(one.key)
            );
            check(!step.isGang || stopped.length === placed.length, `${name} covers only part of a gang`);
            check(progressOf(job, decision.key).run === decision.run, `${name} has another run number`);
            continue;
        }
        const highest = Math.max(...keys.map(key => progressOf(job, key).run));
        check(decision.run === highest + 1, `${name} has run ${decision.run} after ${highest}`);
        check(!step.isGang || new Set(keys).size === count, `${name} covers only part of a gang`);
        check(
            keys.every(key => progressOf(job, key).placement === undefined && !progressOf(job, key).isDone),
            `${name} has tasks that are placed or done`,
        );
        const areDone = (earlier: number): boolean => {
            const { count: tasks = 0, isGang = false } = job.job.steps[earlier] ?? {};
            const done = Array.from({ length: tasks }, (_, index) => taskKey({ occurrence, step: earlier, index })).map(
                key => progressOf(job, key).isDone,
            );
            return isGang ? done.includes(true) : !done.includes(false);
        };
        check(after.every(areDone), `${name} comes before earlier steps`);
        const { repetition } = job.job;
        const dueAt = repetition === undefined ? 0 : repetition.firstDueAt + occurrence * repetition.intervalMs;
        check(dueAt <= view.wallTime, `${name} comes before its due time`);
        for (const { vm, executorId } of decision.tasks) {
            const executor = view.executors.find(one => one.vm === vm && one.executorId === executorId);
            check(
                executor?.takesWork === true && executor.service === job.queue.service,
                `${name} is on a wrong executor`,
            );
            check(
                step.requiredLabel === undefined || executor?.labels.includes(step.requiredLabel) === true,
                `${name} is on an executor without its label`,
            );
            const prefix = `${occurrence}.${stepIndex}.`;
            const onExecutor = [...executor?.runs ?? [], ...starts.filter(one => one.vm === vm)]
                .filter(one => one.jobId === decision.jobId && one.key.startsWith(prefix));
            check(onExecutor.length <= (step.maxPerExecutor ?? Infinity), `${name} has too many tasks on ${vm}`);
        }
    }
    return breaches;
};
