import type { Clock } from "@persimmonpitch/clock/clock.js";
import type { RunSample } from "@persimmonpitch/dispatch/dispatchView.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { EndKind, RunEnd, RunInProgress, RunList } from "@persimmonpitch/workload/executorReport.js";
import type { Placement } from "@persimmonpitch/workload/progress.js";
import type { Demand } from "@persimmonpitch/workload/step.js";
import { parseTaskName, taskKey, taskName } from "@persimmonpitch/workload/taskName.js";
import type { HeldRun } from "./executorState.js";
import { ExecutorState } from "./executorState.js";
import type { JobBook } from "./jobBook.js";
import type { OpenJob } from "./openJob.js";
import { stepKeys } from "./openJob.js";

/** What a fleet works on. */
export interface FleetOptions {
    readonly jobs: JobBook;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Most failures of a task of the job. */
    readonly maxAttempts: (open: OpenJob) => number;
    /** Called for each job whose progress changed. */
    readonly onChanged: (open: OpenJob) => void;
}

/** A run that ended or was lost; a late end is of a run that is no longer held. */
interface EndedRun {
    readonly open: OpenJob;
    readonly task: string;
    readonly key: string;
    readonly run: number;
    readonly checkpoint: string;
}

/** A run that began after this share of the work was done says too little about the whole. */
const MIN_SAMPLED_SHARE = 0.5;
const REMEMBERED_SAMPLES = 300;

/** All executors and what runs on them. */
export class Fleet {
    readonly executors = new Map<string, ExecutorState>();
    /** What tasks took that ended lately, to estimate others of their queues. */
    readonly samples: RunSample[] = [];

    constructor(private readonly options: FleetOptions) {
        for (const open of options.jobs.jobs.values()) {
            this.inherit(open);
        }
    }

    /** The executor of that id, made known when it is new. */
    executor(vm: string, executorId: string): ExecutorState {
        const known = this.executors.get(executorId);
        if (known !== undefined) {
            return known;
        }
        const state = new ExecutorState(vm, executorId);
        this.executors.set(executorId, state);
        return state;
    }

    /** Claims a run that a pass decided. */
    claim(open: OpenJob, key: string, run: number, state: ExecutorState): HeldRun {
        const { vm, executorId, born, address } = state;
        const placement = { vm, executorId, born, ...(address === undefined ? {} : { address }) };
        open.update(key, { run, placement });
        return this.hold(open, key, run, placement, false);
    }

    /** A run is gone without an end that says how. */
    lose(held: HeldRun, reason: string): void {
        const open = this.options.jobs.jobs.get(held.jobId);
        this.options.logger.log("info", "run.lost", { task: held.task, run: held.run, reason });
        this.drop(held);
        if (open !== undefined) {
            this.clearPlacement({ ...held, open, checkpoint: "" });
        }
    }

    /**
     * A newer executor listens at the address of older ones, so their processes are gone. Without this, work of an
     * executor that comes back under another id would wait for the longest lease.
     */
    loseReplaced(newer: ExecutorState): void {
        for (const state of this.executors.values()) {
            const isReplaced = state !== newer && state.vm === newer.vm && state.born < newer.born
                && state.address !== undefined && state.address === newer.address;
            if (isReplaced) {
                this.loseAll(state, "replaced");
            }
        }
    }

    /** Everything that ran on an incarnation of an executor is gone. */
    loseAll(state: ExecutorState, reason: string): void {
        for (const held of [...state.runs.values()]) {
            this.lose(held, reason);
        }
        state.strays.clear();
    }

    /** Takes in what an executor lists. */
    applyList(state: ExecutorState, list: RunList): void {
        if (list.born !== state.born) {
            this.restart(state, list.born);
        }
        const now = this.options.clock.now();
        state.clock = { readingMs: list.clockMs, at: now };
        const listed = new Map(list.running.map(run => [run.task, run]));
        for (const end of list.ends) {
            // An end is listed until it is acknowledged, but a failure counts once.
            if (end.number > state.appliedEnd) {
                state.appliedEnd = end.number;
                this.applyEnd(state, end);
            }
        }
        for (const held of [...state.runs.values()]) {
            this.applyListed(held, listed.get(held.task), list.clockMs);
        }
        this.findStrays(state, list);
    }

    /** A new incarnation: what ran on the older one is gone. */
    restart(state: ExecutorState, born: number): void {
        if (state.born !== born) {
            for (const held of [...state.runs.values()].filter(run => run.born !== born)) {
                this.lose(held, "restarted");
            }
            state.strays.clear();
            state.born = born;
            state.durableEnd = 0;
            state.appliedEnd = 0;
            state.deadlineMs = 0;
            state.clock = undefined;
            state.authorityEndMs = undefined;
        }
    }

    private inherit(open: OpenJob): void {
        for (const [key, task] of Object.entries(open.progress.tasks)) {
            if (task.placement !== undefined && !task.isDone) {
                this.hold(open, key, task.run, task.placement, true);
            }
        }
    }

    private hold(open: OpenJob, key: string, run: number, placement: Placement, isInherited: boolean): HeldRun {
        const state = this.executor(placement.vm, placement.executorId);
        if (isInherited && state.born === 0) {
            state.born = placement.born;
            state.address = placement.address;
        }
        const held: HeldRun = {
            jobId: open.job.jobId,
            key,
            task: taskName(open.job.jobId, key),
            run,
            executorId: placement.executorId,
            born: placement.born,
            demand: demandOf(open, key),
            orderedAt: this.options.clock.now(),
            isInherited,
            isClaimed: isInherited,
            isHeldBack: false,
            isStopping: false,
            isStopSent: false,
            isConcluded: false,
        };
        state.runs.set(held.task, held);
        return held;
    }

    private drop(held: HeldRun): void {
        const state = this.executors.get(held.executorId);
        if (state?.runs.get(held.task) === held) {
            state.runs.delete(held.task);
        }
    }

    /**
     * Takes in an end before it is acknowledged. It counts even when the run was taken for lost and its task was
     * started again, because the executor forgets an end that is acknowledged.
     */
    private applyEnd(state: ExecutorState, end: RunEnd): void {
        const held = state.runs.get(end.task);
        const isHeld = held?.run === end.run;
        if (isHeld) {
            this.drop(held);
        }
        this.options.logger.log("info", "run.ended", {
            task: end.task,
            run: end.run,
            executor: state.executorId,
            how: end.kind,
            isLate: !isHeld,
        });
        const ended = this.endedRun(end);
        if (ended === undefined) {
            return;
        }
        if (end.kind === "done" && isHeld) {
            this.noteSample(ended.open, held);
        }
        if (end.kind === "done" || end.kind === "failed") {
            state.noteEnd({
                jobId: ended.open.job.jobId,
                key: ended.key,
                isFailure: end.kind === "failed",
                at: this.options.clock.now(),
            });
        }
        endHandlers[end.kind](this, ended);
    }

    /** The run that ended, unless its task is done or the run was never claimed. */
    private endedRun({ task, run, checkpoint }: RunEnd): EndedRun | undefined {
        const place = parseTaskName(task);
        const open = place === undefined ? undefined : this.options.jobs.jobs.get(place.jobId);
        if (place === undefined || open === undefined) {
            return undefined;
        }
        const { isDone, run: lastRun } = open.task(place.key);
        return isDone || run > lastRun ? undefined : { open, task, key: place.key, run, checkpoint };
    }

    /** The task is done; a gang is done as a whole, though its other members may be listed a little longer. */
    conclude(ended: EndedRun): void {
        const { open, task, key } = ended;
        const place = parseTaskName(task);
        const step = place === undefined ? undefined : open.job.steps[place.step];
        if (place === undefined || step === undefined || step.isLongRunning) {
            this.clearPlacement(ended);
            return;
        }
        const keys = step.isGang ? stepKeys(step, place.occurrence, place.step) : [key];
        for (const member of keys) {
            this.markConcluded(open, member);
            open.update(member, { isDone: true, placement: undefined, checkpoint: undefined });
        }
        this.options.onChanged(open);
    }

    /** The run failed by its own or the executor's fault; a gang counts one failure a run. */
    fail(ended: EndedRun): void {
        const { open, task, key, run } = ended;
        const place = parseTaskName(task);
        const step = place === undefined ? undefined : open.job.steps[place.step];
        const countedKey = step?.isGang === true && place !== undefined
            ? taskKey({ ...place, index: 0 })
            : key;
        const counted = open.task(countedKey);
        if (counted.failedRun !== run) {
            open.update(countedKey, { failures: counted.failures + 1, failedRun: run });
        }
        this.clearPlacement(ended);
        const isHopeless = open.task(countedKey).failures >= this.options.maxAttempts(open);
        if (isHopeless && step?.isLongRunning !== true) {
            open.conclude("failed");
        }
        this.options.onChanged(open);
    }

    /** The run is over, and its task has to run again, unless a later run of it was started already. */
    clearPlacement({ open, task, key, run, checkpoint }: EndedRun): void {
        const progress = open.task(key);
        if (progress.run !== run || progress.isDone) {
            return;
        }
        open.update(key, { placement: undefined, ...(checkpoint === "" ? {} : { checkpoint }) });
        if (checkpoint !== "") {
            this.shareCheckpoint(open, task, checkpoint);
        }
        this.options.onChanged(open);
    }

    /** A checkpoint of one member is good for the whole gang, and all members have to carry the same one. */
    private shareCheckpoint(open: OpenJob, task: string, checkpoint: string): void {
        const place = parseTaskName(task);
        const step = place === undefined ? undefined : open.job.steps[place.step];
        if (place === undefined || step?.isGang !== true) {
            return;
        }
        for (const key of stepKeys(step, place.occurrence, place.step)) {
            open.update(key, { checkpoint });
        }
    }

    private noteSample(open: OpenJob, held: HeldRun): void {
        const step = open.job.steps[parseTaskName(held.task)?.step ?? -1];
        if (step === undefined || held.firstListedAt === undefined) {
            return;
        }
        const share = 1 - (held.firstPercent ?? 0) / 100;
        const actualMs = (this.options.clock.now() - held.firstListedAt) / Math.max(share, MIN_SAMPLED_SHARE);
        if (actualMs > 0 && share >= MIN_SAMPLED_SHARE) {
            this.samples.push({ queue: open.job.queue, declaredMs: step.declaredMs, actualMs });
            if (this.samples.length > REMEMBERED_SAMPLES) {
                this.samples.shift();
            }
        }
    }

    private markConcluded(open: OpenJob, key: string): void {
        const executorId = open.task(key).placement?.executorId;
        const held = executorId === undefined
            ? undefined
            : this.executors.get(executorId)?.runs.get(taskName(open.job.jobId, key));
        if (held !== undefined) {
            held.isConcluded = true;
        }
    }

    private applyListed(held: HeldRun, listed: RunInProgress | undefined, clockMs: number): void {
        if (listed?.run === held.run) {
            this.noteProgress(held, listed);
            return;
        }
        if (held.isInherited) {
            this.lose(held, "notListed");
        }
        else if (held.stopClockMs !== undefined && clockMs > held.stopClockMs) {
            this.lose(held, "stopped");
        }
        else if (held.startClockMs !== undefined && clockMs > held.startClockMs) {
            this.lose(held, "notListed");
        }
    }

    private noteProgress(held: HeldRun, listed: RunInProgress): void {
        const now = this.options.clock.now();
        held.firstListedAt ??= now;
        held.firstPercent ??= listed.percent;
        if (held.percent === undefined || listed.percent > held.percent) {
            held.progressAt = now;
        }
        held.percent = listed.percent;
        const open = this.options.jobs.jobs.get(held.jobId);
        // Kept in memory and written with the next change: a run that is lost then continues from it.
        if (open !== undefined && listed.checkpoint !== "" && open.task(held.key).checkpoint !== listed.checkpoint) {
            open.update(held.key, { checkpoint: listed.checkpoint });
            this.shareCheckpoint(open, held.task, listed.checkpoint);
        }
    }

    private findStrays(state: ExecutorState, list: RunList): void {
        state.strays.clear();
        for (const { task, run } of list.running) {
            if (state.runs.get(task)?.run !== run) {
                state.strays.set(task, { task, run, demand: this.strayDemand(state, task) });
            }
        }
    }

    /** What a run that no claim covers takes up: all of the executor when its job is not known. */
    private strayDemand(state: ExecutorState, task: string): Demand {
        const place = parseTaskName(task);
        const open = place === undefined ? undefined : this.options.jobs.jobs.get(place.jobId);
        return place === undefined || open === undefined
            ? state.info?.capacity ?? { milliCores: 0, memoryMb: 0, accelerators: 0 }
            : demandOf(open, place.key);
    }
}

const demandOf = (open: OpenJob, key: string): Demand => {
    const step = open.job.steps[Number(key.split(".")[1])];
    const demand = step?.demand ?? { milliCores: 0, memoryMb: 0, accelerators: 0 };
    return step?.usesIdleCores === true ? { ...demand, milliCores: 0 } : demand;
};

/** What each kind of end means for the task. */
const endHandlers: Readonly<Record<EndKind, (fleet: Fleet, ended: EndedRun) => void>> = {
    done: (fleet, ended) => {
        fleet.conclude(ended);
    },
    failed: (fleet, ended) => {
        fleet.fail(ended);
    },
    stopped: (fleet, ended) => {
        fleet.clearPlacement(ended);
    },
    lapsed: (fleet, ended) => {
        fleet.clearPlacement(ended);
    },
    broken: (fleet, ended) => {
        fleet.clearPlacement(ended);
    },
    alone: (fleet, ended) => {
        fleet.clearPlacement(ended);
    },
};
