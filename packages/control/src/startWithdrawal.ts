import { parseTaskName, taskName } from "@persimmonpitch/workload/taskName.js";
import type { ActiveJobs } from "./activeJobs.js";
import type { ExecutorState, TrackedRun } from "./executorState.js";
import { stepKeys } from "./openJob.js";

/** What the choice of the starts to withdraw depends on. */
export interface WithdrawalView {
    readonly executors: ReadonlyMap<string, ExecutorState>;
    readonly jobs: Pick<ActiveJobs, "byId">;
    readonly isEvacuated: (dataCentre: string) => boolean;
}

/**
 * The runs whose starts have to be taken back because a data centre is evacuated: those there that no answer and no list
 * has shown to run, and all members of their gangs wherever they are, because the rest of a gang cannot run without
 * them. Evacuations are rare and most starts are answered within a second, so few runs are concerned.
 */
export const startsToWithdraw = (view: WithdrawalView): readonly TrackedRun[] => {
    const pending = [...view.executors.values()]
        .filter(({ info }) => info !== undefined && view.isEvacuated(info.dataCentre))
        .flatMap(({ runs }) => [...runs.values()].filter(isStartPending));
    return [...new Set(pending.flatMap(tracked => unitMembers(view, tracked)))]
        .filter(({ isStopping, isTaskDone }) => !isStopping && !isTaskDone);
};

/**
 * Whether the run may not have started yet. The first list of the executor settles this for a run of an earlier
 * controller: a run that is not listed is lost, and the executor refuses the order under its older fencing token.
 */
const isStartPending = (tracked: TrackedRun): boolean =>
    !tracked.isInherited && !tracked.isStopping && !tracked.isTaskDone
    && tracked.firstListedAt === undefined && tracked.startAnswerClockMs === undefined;

/** The tracked runs that start and end with this one: the members of its gang, or itself. */
const unitMembers = ({ executors, jobs }: WithdrawalView, tracked: TrackedRun): readonly TrackedRun[] => {
    const parsed = parseTaskName(tracked.task);
    const openJob = jobs.byId.get(tracked.jobId);
    const step = parsed === undefined ? undefined : openJob?.job.steps[parsed.step];
    if (parsed === undefined || openJob === undefined || step?.isGang !== true) {
        return [tracked];
    }
    return stepKeys(step, parsed.occurrence, parsed.step).flatMap(key => {
        const executorId = openJob.task(key).placement?.executorId ?? "";
        const member = executors.get(executorId)?.runs.get(taskName(tracked.jobId, key));
        return member?.run === tracked.run ? [member] : [];
    });
};
