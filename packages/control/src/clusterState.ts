import type { Clock } from "@persimmonpitch/clock/clock.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { RunEnd, RunInProgress, RunList } from "@persimmonpitch/workload/executorReport.js";
import type { Placement } from "@persimmonpitch/workload/progress.js";
import { isStorableCheckpoint } from "@persimmonpitch/workload/progressLayout.js";
import type { Step } from "@persimmonpitch/workload/step.js";
import { stepKeys } from "@persimmonpitch/workload/stepKeys.js";
import { parseTaskName, taskName } from "@persimmonpitch/workload/taskName.js";
import type { ActiveJobs } from "./activeJobs.js";
import { carriedOver, mayStartAfterRestart } from "./carriedRun.js";
import type { TrackedRun } from "./executorState.js";
import { ExecutorState } from "./executorState.js";
import type { OpenJob } from "./openJob.js";
import { runDemand } from "./runDemand.js";
import type { EndedRun } from "./runEnds.js";
import { RunEnds } from "./runEnds.js";
import type { SampledGang } from "./runSamples.js";
import { RunSamples } from "./runSamples.js";
import { updateUnclaimedRuns } from "./unclaimedRuns.js";

export interface ClusterStateOptions {
    readonly jobs: ActiveJobs;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Returns the number of failures after which a task of the job is not retried. */
    readonly maxAttempts: (openJob: OpenJob) => number;
    /** Called when the progress of a job has changed. */
    readonly onChanged: (openJob: OpenJob) => void;
}

/** Tracks all executors and the runs on them. */
export class ClusterState {
    readonly executors = new Map<string, ExecutorState>();
    readonly samples = new RunSamples();
    private readonly ends: RunEnds;

    constructor(private readonly options: ClusterStateOptions) {
        const { maxAttempts, onChanged } = options;
        this.ends = new RunEnds({ executors: this.executors, maxAttempts, onChanged });
        for (const openJob of options.jobs.byId.values()) {
            this.trackInheritedRuns(openJob);
        }
    }

    /** Returns the executor with this id and registers it if it is new. */
    getOrAddExecutor(vm: string, executorId: string): ExecutorState {
        const known = this.executors.get(executorId);
        if (known !== undefined) {
            return known;
        }
        const state = new ExecutorState(vm, executorId);
        this.executors.set(executorId, state);
        return state;
    }

    /** Records the claim of a run that a pass decided to start. */
    claim(openJob: OpenJob, key: string, run: number, state: ExecutorState): TrackedRun {
        const placement = placementOn(state);
        openJob.update(key, { run, placement });
        openJob.runStats.recordOrder(this.options.clock.now());
        return this.track(openJob, key, run, placement, false);
    }

    /** Records that a run is gone without a reported end. */
    markRunLost(tracked: TrackedRun, reason: string): void {
        const openJob = this.options.jobs.byId.get(tracked.jobId);
        this.options.logger.log("info", "run.lost", { task: tracked.task, run: tracked.run, reason });
        this.untrack(tracked);
        if (openJob !== undefined) {
            openJob.runStats.recordLoss();
            this.ends.clearPlacement({ ...tracked, openJob, checkpoint: "" });
        }
    }

    /**
     * Marks the runs of older executors at the same address as lost: their processes are gone if a newer one listens
     * there. Otherwise the runs of an executor that restarted under another id would have to wait for the longest
     * lease.
     */
    markReplacedRunsLost(newer: ExecutorState): void {
        for (const state of this.executors.values()) {
            const isReplaced = state !== newer && state.vm === newer.vm && state.born < newer.born
                && state.address !== undefined && state.address === newer.address;
            if (isReplaced) {
                this.markAllRunsLost(state, "replaced");
            }
        }
    }

    /**
     * Records that the executor deregistered and cannot be reached any more, so that its runs are over. Runs with an
     * unanswered start order stay: the order may reach the next incarnation.
     */
    markLeft(state: ExecutorState): void {
        for (const tracked of [...state.runs.values()].filter(({ unansweredStarts }) => unansweredStarts === 0)) {
            this.markRunLost(tracked, "left");
        }
        state.unclaimedRuns.clear();
    }

    /** Records that all runs on an incarnation of an executor are gone. */
    markAllRunsLost(state: ExecutorState, reason: string): void {
        for (const tracked of [...state.runs.values()]) {
            this.markRunLost(tracked, reason);
        }
        state.unclaimedRuns.clear();
    }

    /** Applies the run list of an executor. */
    applyRunList(state: ExecutorState, list: RunList): void {
        if (list.born !== state.born) {
            this.startIncarnation(state, list.born);
        }
        const now = this.options.clock.now();
        // An agent repeats its last list while the executor does not respond, which is not a newer clock reading.
        if (list.clockMs !== state.clock?.readingMs) {
            state.clock = { readingMs: list.clockMs, at: now };
        }
        const listed = new Map(list.running.map(run => [run.task, run]));
        for (const end of list.ends) {
            // An end is listed until it is acknowledged, but each failure must count only once.
            if (end.number > state.lastAppliedEnd) {
                state.lastAppliedEnd = end.number;
                this.applyEnd(state, end);
            }
        }
        for (const tracked of [...state.runs.values()]) {
            this.applyListedRun(state, tracked, listed.get(tracked.task), list);
        }
        updateUnclaimedRuns(this.options.jobs, state, list);
    }

    /**
     * Switches to a new incarnation. All runs of the previous one are gone, but an order to start one of them may reach
     * the new incarnation, so a run with such an order is kept until it is listed or stopped there.
     */
    startIncarnation(state: ExecutorState, born: number): void {
        if (state.born !== born) {
            for (const tracked of [...state.runs.values()].filter(run => run.born !== born)) {
                if (mayStartAfterRestart(tracked)) {
                    this.carryOver(state, tracked);
                }
                else {
                    this.markRunLost(tracked, "restarted");
                }
            }
            state.unclaimedRuns.clear();
            state.born = born;
            state.incarnationSeenAt = this.options.clock.now();
            state.isAttached = false;
            state.durableEnd = 0;
            state.lastAppliedEnd = 0;
            state.deadlineMs = 0;
            state.clock = undefined;
            state.controllerLeaseEndMs = undefined;
        }
    }

    private trackInheritedRuns(openJob: OpenJob): void {
        for (const [key, task] of Object.entries(openJob.progress.tasks)) {
            if (task.placement !== undefined && !task.isDone) {
                this.track(openJob, key, task.run, task.placement, true);
            }
        }
    }

    private track(openJob: OpenJob, key: string, run: number, placement: Placement, isInherited: boolean): TrackedRun {
        const state = this.getOrAddExecutor(placement.vm, placement.executorId);
        if (isInherited && state.born === 0) {
            state.born = placement.born;
            state.address = placement.address;
        }
        const tracked: TrackedRun = {
            jobId: openJob.job.jobId,
            key,
            task: taskName(openJob.job.jobId, key),
            run,
            executorId: placement.executorId,
            born: placement.born,
            demand: runDemand(openJob.job, key),
            isBackground: stepOfKey(openJob, key)?.usesIdleCores ?? false,
            servingTargetMs: servingTargetOf(stepOfKey(openJob, key)),
            orderedAt: this.options.clock.now(),
            isInherited,
            isCarriedOver: false,
            unansweredStarts: 0,
            isClaimDurable: isInherited,
            isAwaitingRenewal: false,
            isStopping: false,
            isStopSent: false,
            isTaskDone: false,
        };
        state.runs.set(tracked.task, tracked);
        return tracked;
    }

    /** Replaces the tracked run, so that answers to orders for the previous incarnation no longer apply to it. */
    private carryOver(state: ExecutorState, tracked: TrackedRun): void {
        this.options.logger.log("info", "run.carriedOver", {
            task: tracked.task,
            run: tracked.run,
            executor: state.executorId,
            unansweredStarts: tracked.unansweredStarts,
        });
        state.runs.set(tracked.task, carriedOver(tracked));
    }

    /** Claims a run for the incarnation that lists it, which received the order for the previous one. */
    private adopt(state: ExecutorState, tracked: TrackedRun): void {
        tracked.born = state.born;
        const openJob = this.options.jobs.byId.get(tracked.jobId);
        this.options.logger.log("info", "run.adopted", {
            task: tracked.task,
            run: tracked.run,
            executor: state.executorId,
            born: state.born,
        });
        if (openJob?.task(tracked.key).run === tracked.run) {
            openJob.update(tracked.key, { placement: placementOn(state) });
            this.options.onChanged(openJob);
        }
    }

    private untrack(tracked: TrackedRun): void {
        const state = this.executors.get(tracked.executorId);
        if (state?.runs.get(tracked.task) === tracked) {
            state.runs.delete(tracked.task);
        }
    }

    /**
     * Applies an end before it is acknowledged. Ends of runs that were already considered lost and restarted count as
     * well, because the executor forgets an end once it is acknowledged.
     */
    private applyEnd(state: ExecutorState, end: RunEnd): void {
        const tracked = state.runs.get(end.task);
        const isTracked = tracked?.run === end.run;
        if (isTracked) {
            this.untrack(tracked);
        }
        this.options.logger.log("info", "run.ended", {
            task: end.task,
            run: end.run,
            executor: state.executorId,
            how: end.kind,
            isLate: !isTracked,
        });
        const ended = this.findEndedRun(end);
        if (ended === undefined) {
            return;
        }
        ended.openJob.runStats.recordEnd(end.kind);
        if (end.kind === "done" && isTracked) {
            this.samples.add(
                ended.openJob,
                tracked,
                this.gangOf(ended.openJob, tracked, state),
                this.options.clock.now(),
            );
        }
        if (end.kind === "done" || end.kind === "failed") {
            state.recordEnd({
                jobId: ended.openJob.job.jobId,
                key: ended.key,
                isFailure: end.kind === "failed",
                at: this.options.clock.now(),
            });
        }
        this.ends.apply(end.kind, ended);
    }

    /** Returns where the members of the gang of a run are, and when the last of them was listed. */
    private gangOf(openJob: OpenJob, tracked: TrackedRun, state: ExecutorState): SampledGang {
        const parsed = parseTaskName(tracked.task);
        const step = stepOfKey(openJob, tracked.key);
        const keys = parsed !== undefined && step?.isGang === true
            ? stepKeys(step, parsed.occurrence, parsed.step)
            : [];
        const others = keys.filter(key => key !== tracked.key).flatMap(key => {
            const { placement, run } = openJob.task(key);
            return placement === undefined || run !== tracked.run ? [] : [{ key, ...placement }];
        });
        const listedAt = others.map(({ executorId, key }) =>
            this.executors.get(executorId)?.runs.get(taskName(tracked.jobId, key))?.firstListedAt ?? 0
        );
        const places = [{ vm: state.vm, born: tracked.born }, ...others.map(({ vm, born }) => ({ vm, born }))];
        return { places, lastListedAt: Math.max(tracked.firstListedAt ?? 0, ...listedAt) };
    }

    /** Returns the ended run unless its task is done or the run was never claimed. */
    private findEndedRun({ task, run, checkpoint: listedCheckpoint }: RunEnd): EndedRun | undefined {
        const parsed = parseTaskName(task);
        const openJob = parsed === undefined ? undefined : this.options.jobs.byId.get(parsed.jobId);
        if (parsed === undefined || openJob === undefined) {
            return undefined;
        }
        const { isDone, run: lastRun } = openJob.task(parsed.key);
        const isStorable = isStorableCheckpoint(listedCheckpoint);
        if (!isStorable) {
            this.options.logger.log("warn", "checkpoint.tooLong", {
                task,
                run,
                bytes: Buffer.byteLength(listedCheckpoint),
            });
        }
        const checkpoint = isStorable ? listedCheckpoint : "";
        return isDone || run > lastRun ? undefined : { openJob, task, key: parsed.key, run, checkpoint };
    }

    private applyListedRun(
        state: ExecutorState,
        tracked: TrackedRun,
        listed: RunInProgress | undefined,
        { clockMs, hasMoreEnds }: RunList,
    ): void {
        if (listed?.run === tracked.run) {
            if (tracked.born !== state.born) {
                this.adopt(state, tracked);
            }
            this.updateProgress(tracked, listed);
            this.updateMeasurement(tracked, listed, clockMs);
            return;
        }
        if (hasMoreEnds) {
            // The run may have ended: the list contains its end only once the ends before it are acknowledged. Until then
            // it must not count as stalled either.
            tracked.progressAt = this.options.clock.now();
            return;
        }
        if (tracked.isInherited) {
            this.markRunLost(tracked, "notListed");
        }
        else if (tracked.stopAnswerClockMs !== undefined && clockMs > tracked.stopAnswerClockMs) {
            this.markRunLost(tracked, "stopped");
        }
        else if (tracked.startAnswerClockMs !== undefined && clockMs > tracked.startAnswerClockMs) {
            this.markRunLost(tracked, "notListed");
        }
    }

    private updateProgress(tracked: TrackedRun, listed: RunInProgress): void {
        const now = this.options.clock.now();
        tracked.firstListedAt ??= now;
        tracked.firstPercent ??= listed.percent;
        if (tracked.percent === undefined || listed.percent > tracked.percent) {
            tracked.progressAt = now;
        }
        tracked.percent = listed.percent;
        const openJob = this.options.jobs.byId.get(tracked.jobId);
        // Kept in memory and written with the next change, so that the task resumes from it if the run is lost.
        if (
            openJob !== undefined && listed.checkpoint !== "" && isStorableCheckpoint(listed.checkpoint)
            && openJob.task(tracked.key).checkpoint !== listed.checkpoint
        ) {
            openJob.update(tracked.key, { checkpoint: listed.checkpoint });
            this.ends.shareCheckpoint(openJob, tracked.task, listed.checkpoint);
        }
    }

    /** Ignores a repeated list, which contains no new measurement. */
    private updateMeasurement(tracked: TrackedRun, { load }: RunInProgress, clockMs: number): void {
        if (load !== undefined && clockMs > (tracked.measurement?.clockMs ?? -Infinity)) {
            tracked.measurement = { load, clockMs, at: this.options.clock.now() };
        }
    }
}

const placementOn = ({ vm, executorId, born, address }: ExecutorState): Placement => ({
    vm,
    executorId,
    born,
    ...(address === undefined ? {} : { address }),
});

const stepOfKey = (openJob: OpenJob, key: string): Step | undefined => openJob.job.steps[Number(key.split(".")[1])];

const servingTargetOf = (step: Step | undefined): number | undefined =>
    step?.isLongRunning === true && (step.targetMs ?? 0) > 0 ? step.targetMs : undefined;
