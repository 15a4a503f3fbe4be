import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { Step } from "@persimmonpitch/workload/step.js";
import { parseTaskName, taskName } from "@persimmonpitch/workload/taskName.js";
import type { ExecutorView, JobView, RunView, StopDecision, StopReason } from "./dispatchView.js";
import { groupBy } from "./groupBy.js";
import { progressOf, stepKeys } from "./openOccurrences.js";

/** A run on its executor, given by its index in the view. */
export interface GroupMember {
    readonly executor: number;
    readonly run: RunView;
}

/** Runs that end together: one run, or the members of a gang that executors list. */
export interface RunGroup {
    readonly view: JobView;
    readonly occurrence: number;
    readonly stepIndex: number;
    readonly step: Step;
    readonly members: readonly GroupMember[];
    /** Whether its end is under way. */
    readonly isStopping: boolean;
    /** When it began to work; undefined until all members are listed. */
    readonly workingSince: Millis | undefined;
}

/** What is known of the step of a run. */
export interface RunStep {
    readonly view: JobView;
    readonly occurrence: number;
    readonly stepIndex: number;
    readonly step: Step;
}

/** The step of each run; absent for a run of a job that the view does not hold. */
export type RunSteps = ReadonlyMap<RunView, RunStep>;

const findRunStep = (jobs: ReadonlyMap<string, JobView>, { jobId, key }: RunView): RunStep | undefined => {
    const view = jobs.get(jobId);
    const place = parseTaskName(taskName(jobId, key));
    const step = view?.job.steps[place?.step ?? -1];
    return view === undefined || place === undefined || step === undefined
        ? undefined
        : { view, occurrence: place.occurrence, stepIndex: place.step, step };
};

/** Finds the steps of all runs of the executors. */
export const findRunSteps = (executors: readonly ExecutorView[], jobs: ReadonlyMap<string, JobView>): RunSteps => {
    const runSteps = new Map<RunView, RunStep>();
    for (const run of executors.flatMap(({ runs }) => runs)) {
        const runStep = findRunStep(jobs, run);
        if (runStep !== undefined) {
            runSteps.set(run, runStep);
        }
    }
    return runSteps;
};

/** A run of an earlier number takes up room but is no longer what the task's progress names. */
const isCurrent = ({ view }: RunStep, run: RunView): boolean => {
    const { placement, run: current } = progressOf(view, run.key);
    return placement !== undefined && current === run.run && view.progress.outcome === "open";
};

const workingSince = ({ step }: RunStep, members: readonly GroupMember[]): Millis | undefined => {
    if (step.isGang && members.length < step.count) {
        return undefined;
    }
    const listed = members.map(({ run }) => run.firstListedAt);
    return listed.reduce((latest, at) => latest === undefined || at === undefined ? undefined : Math.max(latest, at));
};

const groupOf = (runStep: RunStep, members: readonly GroupMember[]): RunGroup => ({
    ...runStep,
    members,
    isStopping: members.some(({ run }) => run.isStopping),
    workingSince: workingSince(runStep, members),
});

/** Groups the runs of all executors that their jobs' progress names. */
export const runGroups = (executors: readonly ExecutorView[], runSteps: RunSteps): readonly RunGroup[] => {
    const found = new Map<string, { readonly runStep: RunStep; readonly members: GroupMember[]; }>();
    executors.forEach(({ runs }, executor) => {
        for (const run of runs) {
            const runStep = runSteps.get(run);
            if (runStep === undefined || !isCurrent(runStep, run)) {
                continue;
            }
            const { step, occurrence, stepIndex } = runStep;
            const id = step.isGang ? `${run.jobId} ${occurrence} ${stepIndex}` : taskName(run.jobId, run.key);
            const group = found.get(id) ?? { runStep, members: [] };
            group.members.push({ executor, run });
            found.set(id, group);
        }
    });
    return [...found.values()].map(({ runStep, members }) => groupOf(runStep, members));
};

/** The groups that have a member on each executor. */
export const groupsByExecutor = (groups: readonly RunGroup[]): ReadonlyMap<number, readonly RunGroup[]> => {
    const placed = groups.flatMap(group =>
        [...new Set(group.members.map(({ executor }) => executor))].map(executor => ({ executor, group }))
    );
    const found = groupBy(placed, ({ executor }) => executor);
    return new Map([...found].map(([executor, all]) => [executor, all.map(({ group }) => group)]));
};

/** Stops every member that still has a placement, also one on an executor that cannot be reached. */
export const stopDecisions = (group: RunGroup, reason: StopReason): readonly StopDecision[] => {
    const { view, occurrence, stepIndex, step, members } = group;
    const keys = step.isGang ? stepKeys(occurrence, stepIndex, step) : members.map(({ run }) => run.key);
    return keys
        .map(key => ({ key, progress: progressOf(view, key) }))
        .filter(({ progress }) => progress.placement !== undefined)
        .map(({ key, progress }) => ({ kind: "stop", jobId: view.job.jobId, key, run: progress.run, reason }));
};
