import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { Step } from "@persimmonpitch/workload/step.js";
import { stepKeys } from "@persimmonpitch/workload/stepKeys.js";
import { parseTaskKey, parseTaskName, taskName } from "@persimmonpitch/workload/taskName.js";
import type { ExecutorView, JobView, RunView, StopDecision, StopReason } from "./dispatchView.js";
import { groupBy } from "./groupBy.js";
import { progressOf } from "./openOccurrences.js";
import { measureRate, type RateMeasurement } from "./rateMeasurement.js";

/** A run and its executor, given by its index in the view. */
export interface GroupMember {
    readonly executorIndex: number;
    readonly run: RunView;
    /** Measured rate of the run; undefined before its first progress. */
    readonly measured: RateMeasurement | undefined;
}

/** The slowness of an executor by its index in the view. */
export type SlownessOf = (executorIndex: number) => number;

type PlacedRun = Pick<GroupMember, "executorIndex" | "run">;

/** Runs that end together: a single run, or the listed members of a gang. */
export interface RunGroup {
    readonly view: JobView;
    readonly occurrence: number;
    readonly stepIndex: number;
    readonly step: Step;
    readonly members: readonly GroupMember[];
    /** Whether a member was ordered to stop. */
    readonly isStopping: boolean;
    /** When its work began; undefined until executors have listed all members. */
    readonly workingSince: Millis | undefined;
    /** Slowness of the slowest of its executors, at whose speed it runs; 1 is normal. */
    readonly slowness: number;
}

/** The step of a run, with its job and occurrence. */
export interface RunStep {
    readonly view: JobView;
    readonly occurrence: number;
    readonly stepIndex: number;
    readonly step: Step;
}

/**
 * The step of each run, by the indices of its executor and of the run; undefined for runs of jobs that are not in the
 * view.
 */
export type RunSteps = readonly (readonly (RunStep | undefined)[])[];

/** Finds the steps of all runs on the executors. Runs of the same step share one object. */
export const findRunSteps = (executors: readonly ExecutorView[], jobs: ReadonlyMap<string, JobView>): RunSteps => {
    const known = new Map<JobView, RunStep[]>();
    const findRunStep = ({ jobId, key }: RunView): RunStep | undefined => {
        const view = jobs.get(jobId);
        const position = parseTaskKey(key) ?? parseTaskName(taskName(jobId, key));
        const step = view?.job.steps[position?.step ?? -1];
        if (view === undefined || position === undefined || step === undefined) {
            return undefined;
        }
        const stepsOfJob = known.get(view) ?? [];
        known.set(view, stepsOfJob);
        const { occurrence, step: stepIndex } = position;
        const existing = stepsOfJob.find(candidate =>
            candidate.stepIndex === stepIndex && candidate.occurrence === occurrence
        );
        const runStep = existing ?? { view, occurrence, stepIndex, step };
        if (existing === undefined) {
            stepsOfJob.push(runStep);
        }
        return runStep;
    };
    return executors.map(({ runs }) => runs.map(findRunStep));
};

/** Whether the progress of the task refers to this run. Earlier runs of a task may still hold resources. */
const isCurrent = ({ view }: RunStep, run: RunView): boolean => {
    const { placement, run: current } = progressOf(view, run.key);
    return placement !== undefined && current === run.run && view.progress.outcome === "open";
};

const workingSince = ({ step }: RunStep, members: readonly PlacedRun[]): Millis | undefined => {
    if (step.isGang && members.length < step.count) {
        return undefined;
    }
    const listed = members.map(({ run }) => run.firstListedAt);
    return listed.reduce((latest, at) => latest === undefined || at === undefined ? undefined : Math.max(latest, at));
};

const groupOf = (runStep: RunStep, placed: readonly PlacedRun[], slownessOf: SlownessOf): RunGroup => {
    const { view, occurrence, stepIndex, step } = runStep;
    const since = workingSince(runStep, placed);
    return {
        ...{ view, occurrence, stepIndex, step },
        members: placed.map(({ executorIndex, run }) => ({ executorIndex, run, measured: measureRate(run, since) })),
        isStopping: placed.some(({ run }) => run.isStopping),
        workingSince: since,
        slowness: placed.reduce((slowest, { executorIndex }) => Math.max(slowest, slownessOf(executorIndex)), 1),
    };
};

interface CollectedGroup {
    readonly runStep: RunStep;
    readonly members: PlacedRun[];
}

/** Groups the current runs on all executors. */
export const runGroups = (
    executors: readonly ExecutorView[],
    runSteps: RunSteps,
    slownessOf: SlownessOf = () => 1,
): readonly RunGroup[] => {
    const collected: CollectedGroup[] = [];
    const byStep = new Map<RunStep, Map<string, CollectedGroup>>();
    executors.forEach(({ runs }, executorIndex) => {
        runs.forEach((run, index) => {
            const runStep = runSteps[executorIndex]?.[index];
            if (runStep === undefined || !isCurrent(runStep, run)) {
                return;
            }
            const ofStep = byStep.get(runStep) ?? new Map<string, CollectedGroup>();
            const id = runStep.step.isGang ? "" : run.key;
            const group = ofStep.get(id);
            if (group === undefined) {
                const created = { runStep, members: [{ executorIndex, run }] };
                collected.push(created);
                byStep.set(runStep, ofStep.set(id, created));
            }
            else {
                group.members.push({ executorIndex, run });
            }
        });
    });
    return collected.map(({ runStep, members }) => groupOf(runStep, members, slownessOf));
};

/** The groups with a member on each executor, by its index. */
export const groupsByExecutor = (groups: readonly RunGroup[]): ReadonlyMap<number, readonly RunGroup[]> => {
    const placed = groups.flatMap(group =>
        [...new Set(group.members.map(({ executorIndex }) => executorIndex))].map(executorIndex => ({
            executorIndex,
            group,
        }))
    );
    const byExecutor = groupBy(placed, ({ executorIndex }) => executorIndex);
    return new Map([...byExecutor].map(([executorIndex, all]) => [executorIndex, all.map(({ group }) => group)]));
};

/** Decisions that stop all members of a group with a placement, including those on unreachable executors. */
export const stopDecisions = (group: RunGroup, reason: StopReason): readonly StopDecision[] => {
    const { view, occurrence, stepIndex, step, members } = group;
    const keys = step.isGang ? stepKeys(step, occurrence, stepIndex) : members.map(({ run }) => run.key);
    return keys
        .map(key => ({ key, progress: progressOf(view, key) }))
        .filter(({ progress }) => progress.placement !== undefined)
        .map(({ key, progress }) => ({ kind: "stop", jobId: view.job.jobId, key, run: progress.run, reason }));
};
