import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { Team } from "@persimmonpitch/workload/clusterConfig.js";
import type { TaskProgress } from "@persimmonpitch/workload/progress.js";
import { NO_TASK_PROGRESS } from "@persimmonpitch/workload/progress.js";
import type { Demand } from "@persimmonpitch/workload/step.js";
import { stepKeys } from "@persimmonpitch/workload/stepKeys.js";
import { parseTaskName, taskName } from "@persimmonpitch/workload/taskName.js";
import type { Timings } from "@persimmonpitch/workload/timings.js";
import { addTo, coreEquivalent, countedDemand } from "./demand.js";
import { DEFAULT_DISPATCH_OPTIONS, type DispatchOptions } from "./dispatchOptions.js";
import { runPass } from "./dispatchPass.js";
import type {
    DispatchDecision,
    DispatchView,
    EndView,
    ExecutorView,
    JobView,
    RunSample,
    StartDecision,
    StopDecision,
} from "./dispatchView.js";
import { ExecutorSpeeds } from "./executorSpeeds.js";
import { type FakeGroup, type FakeRun, groupRate, type Rate, reportProgress } from "./fakeRun.js";
import { sampledRunOf } from "./sampledRun.js";
import { SearchTurns } from "./searchTurns.js";

const TICK_MS: Millis = 50;
const REPORT_MS: Millis = 500;

/** Number of ends per executor and of samples that the view contains. */
const MAX_KEPT_ENDS = 20;
const MAX_KEPT_SAMPLES = 300;

/** Runs that did a smaller share of their task are no samples, as they say little about its run time. */
const MIN_SAMPLED_SHARE = 0.2;

/** The executors, teams and timings of a simulated cluster, and the behaviour of its runs. */
export interface FakeClusterOptions {
    readonly executors: readonly ExecutorView[];
    readonly teams: readonly Team[];
    readonly timings: Timings;
    /** Run time of a task on a healthy executor. A gang has the run time of its first task. */
    readonly trueMs: (jobId: string, step: number, key: string) => Millis;
    readonly rate?: Rate;
    /** Whether passes know the learned speeds of executors, which is the default. */
    readonly learnsSpeeds?: boolean;
    /** Share of the work at which a run fails; undefined for a run that does not fail. */
    readonly failsAt?: (jobId: string, key: string, run: number) => number | undefined;
    /** Time from a stop to the end of the run. */
    readonly stopMs?: (jobId: string, key: string, run: number) => Millis;
    /** Maximum time between passes while no run ends and no job arrives. By default, a pass runs at every tick. */
    readonly idlePassMs?: Millis;
    readonly maxAttempts?: number;
    readonly dispatch?: Partial<DispatchOptions>;
}

/** Times in the life of a job. */
export interface FakeJobRecord {
    /** When the last task of its first step was first started. */
    firstStepAt?: Millis;
    /** When it was completed. */
    endedAt?: Millis;
}

/** Starts, stops and lost work of all jobs. */
export interface FakeCosts {
    starts: number;
    stops: number;
    /** Unsaved work of stopped and lost runs. */
    lostCoreSeconds: number;
}

/**
 * Simulated executors that carry out the decisions of passes on a simulated clock. Throws if a start exceeds the
 * capacity of an executor.
 */
export class FakeCluster {
    now: Millis = 0;
    readonly records = new Map<string, FakeJobRecord>();
    readonly costs: FakeCosts = { starts: 0, stops: 0, lostCoreSeconds: 0 };
    readonly log: string[] = [];
    /** Changes of the learned slowness of executors. */
    readonly speedLog: string[] = [];
    private readonly jobs = new Map<string, JobView>();
    private readonly progress = new Map<string, Record<string, TaskProgress>>();
    private readonly saved = new Map<string, Millis>();
    private readonly ends: EndView[][];
    private readonly unavailableUntil: Millis[];
    private readonly samples: RunSample[] = [];
    private readonly searchTurns = new SearchTurns();
    private readonly speeds = new ExecutorSpeeds();
    private groups: FakeGroup[] = [];
    private nextPassAt: Millis = 0;

    constructor(private readonly options: FakeClusterOptions) {
        this.ends = options.executors.map(() => []);
        this.unavailableUntil = options.executors.map(() => 0);
    }

    submit(view: JobView): void {
        const tasks: Record<string, TaskProgress> = {};
        this.progress.set(view.job.jobId, tasks);
        this.jobs.set(view.job.jobId, { ...view, progress: { outcome: "open", tasks } });
        this.records.set(view.job.jobId, {});
        this.nextPassAt = this.now;
    }

    /** Cancels the job and stops its runs. */
    cancel(jobId: string): void {
        this.close(jobId, "cancelled");
    }

    /** Loses all runs on all executors, which take work again after `downMs`. */
    loseAllRuns(downMs: Millis): void {
        for (const group of this.groups) {
            this.recordLostWork(group, this.savedWork(group));
            this.release(group, { isDone: false });
        }
        this.groups = [];
        this.ends.forEach(list => list.splice(0));
        this.unavailableUntil.fill(this.now + downMs);
        this.nextPassAt = this.now;
    }

    runUntil(time: Millis, onTick: (now: Millis) => void = () => undefined): void {
        while (this.now < time) {
            onTick(this.now);
            this.advance();
            if (this.now >= this.nextPassAt) {
                this.nextPassAt = this.now + (this.options.idlePassMs ?? TICK_MS);
                const { decisions, skippedSearches } = runPass(
                    {
                        ...this.viewWithSpeeds(),
                        searchTurns: this.searchTurns.next(DEFAULT_DISPATCH_OPTIONS.maxSearchTurns),
                    },
                    this.options.dispatch,
                );
                this.searchTurns.record(skippedSearches);
                decisions.forEach(decision => {
                    this.apply(decision);
                });
            }
            this.now += TICK_MS;
        }
    }

    private viewWithSpeeds(): DispatchView {
        const view = this.view();
        if (this.options.learnsSpeeds === false) {
            return view;
        }
        for (const { vm, before, after } of this.speeds.update(view, this.now)) {
            this.speedLog.push(`${this.now} ${vm} ${before} to ${after}`);
        }
        return { ...view, slowness: this.speeds.slowness };
    }

    /** The jobs, runs and executors as a pass sees them. */
    view(): DispatchView {
        const { executors, teams, timings } = this.options;
        const runs = executors.map((): FakeRun[] => []);
        for (const run of this.groups.flatMap(({ members }) => members)) {
            runs[run.executorIndex]?.push(run);
        }
        return {
            now: this.now,
            wallTime: this.now,
            timings,
            teams,
            samples: this.samples,
            jobs: [...this.jobs.values()],
            executors: executors.map((executor, index) => ({
                ...executor,
                listedAt: this.now,
                takesWork: executor.takesWork && this.now >= (this.unavailableUntil[index] ?? 0),
                runs: runs[index] ?? [],
                recentEnds: this.ends[index] ?? [],
            })),
        };
    }

    private apply(decision: DispatchDecision): void {
        const view = this.jobs.get(decision.jobId);
        if (view === undefined) {
            throw new Error(`decision on ${decision.jobId}, which is not an open job`);
        }
        if (decision.kind === "stop") {
            this.log.push(`${this.now} stop ${decision.jobId}.${decision.key} ${decision.reason}`);
            this.stop(decision);
        }
        else {
            this.start(view, decision);
        }
    }

    private stop({ jobId, key, run }: Pick<StopDecision, "jobId" | "key" | "run">): void {
        const group = this.groups.find(({ members }) =>
            members.some(member => member.jobId === jobId && member.key === key && member.run === run)
        );
        if (group !== undefined && group.stopsAt === Infinity) {
            const { stopMs = () => 300 } = this.options;
            group.stopsAt = this.now + stopMs(jobId, group.members[0]?.key ?? key, run);
            group.members.forEach(member => {
                member.isStopping = true;
            });
            this.costs.stops += group.members.length;
        }
    }

    private start(view: JobView, { jobId, run, tasks }: StartDecision): void {
        const { now } = this;
        const { trueMs: trueMsOf, timings, failsAt = () => undefined } = this.options;
        const [first] = tasks;
        const stepIndex = parseTaskName(taskName(jobId, first?.key ?? ""))?.step ?? -1;
        const step = view.job.steps[stepIndex];
        if (first === undefined || step === undefined) {
            throw new Error(`start decision for ${jobId} names no known task`);
        }
        const trueMs = trueMsOf(jobId, stepIndex, first.key);
        const savedMs = this.saved.get(taskName(jobId, first.key)) ?? 0;
        const percent = Math.floor(100 * savedMs / trueMs);
        const members = tasks.map(({ key, vm, executorId }): FakeRun => {
            const executorIndex = this.options.executors.findIndex(one => one.vm === vm);
            this.update(jobId, key, { run, placement: { vm, executorId, born: 0 } });
            const times = { orderedAt: now, firstListedAt: now, progressAt: now };
            return {
                jobId,
                key,
                run,
                demand: countedDemand(step),
                executorIndex,
                isStopping: false,
                firstPercent: percent,
                percent,
                ...times,
            };
        });
        this.groups.push({
            ...{ view, stepIndex, step, members, trueMs, savedMs, doneMs: savedMs, stopsAt: Infinity },
            workStartsAt: savedMs > 0 ? now + timings.restoreMs : now,
            failsAtMs: trueMs * (failsAt(jobId, first.key, run) ?? Infinity),
        });
        this.costs.starts += members.length;
        this.checkCapacity();
        this.recordFirstStep(view);
    }

    private checkCapacity(): void {
        const freeByExecutor = this.options.executors.map(({ capacity }) => ({ ...capacity }));
        for (const { step, members } of this.groups) {
            const demand = countedDemand(step);
            members.forEach(({ executorIndex }) => {
                const free = freeByExecutor[executorIndex];
                if (free !== undefined) {
                    addTo(free, demand, -1);
                }
            });
        }
        const isExceeded = ({ milliCores, memoryMb, accelerators }: Demand): boolean =>
            Math.min(milliCores, memoryMb, accelerators) < 0;
        const exceeded = freeByExecutor.findIndex(isExceeded);
        if (exceeded >= 0) {
            throw new Error(`the capacity of executor ${exceeded} is exceeded at ${this.now} ms`);
        }
    }

    private recordFirstStep({ job: { jobId, steps } }: JobView): void {
        const placed = Object.keys(this.progress.get(jobId) ?? {}).filter(key => key.startsWith("0.0."));
        const record = this.records.get(jobId);
        if (record !== undefined && placed.length === steps[0]?.count) {
            record.firstStepAt ??= this.now;
        }
    }

    private update(jobId: string, key: string, change: Partial<TaskProgress>): void {
        const tasks = this.progress.get(jobId) ?? {};
        tasks[key] = { ...tasks[key] ?? NO_TASK_PROGRESS, ...change };
    }

    private advance(): void {
        const { executors, rate = () => 1, timings: { spreadSlowdown } } = this.options;
        for (const group of this.groups) {
            if (this.now >= group.workStartsAt) {
                group.doneMs += TICK_MS * groupRate(group, executors, rate, this.now, spreadSlowdown);
            }
            if (this.now % REPORT_MS === 0) {
                reportProgress(group, this.now);
            }
        }
        const isEnding = ({ doneMs, trueMs, failsAtMs, stopsAt }: FakeGroup): boolean =>
            doneMs >= Math.min(trueMs, failsAtMs) || this.now >= stopsAt;
        const ending = this.groups.filter(isEnding);
        if (ending.length > 0) {
            this.groups = this.groups.filter(group => !ending.includes(group));
            this.nextPassAt = this.now;
            ending.forEach(group => {
                this.end(group);
            });
        }
    }

    /** Work saved by the last periodic checkpoint of the run. */
    private savedWork({ step, savedMs, doneMs }: FakeGroup): Millis {
        const { checkpointIntervalMs } = this.options.timings;
        const saves = Math.floor((doneMs - savedMs) / checkpointIntervalMs);
        return step.hasCheckpoints ? savedMs + saves * checkpointIntervalMs : 0;
    }

    private recordLostWork({ view, step, members, savedMs, doneMs }: FakeGroup, keptMs: Millis): void {
        const lostMs = doneMs - Math.max(keptMs, savedMs);
        this.costs.lostCoreSeconds += members.length * coreEquivalent(step.demand) * lostMs / 1_000;
        members.forEach(({ key }) => this.saved.set(taskName(view.job.jobId, key), keptMs));
    }

    private end(group: FakeGroup): void {
        const { view, step, members, doneMs, trueMs, failsAtMs } = group;
        const isDone = doneMs >= trueMs && failsAtMs > trueMs;
        const isFailure = !isDone && doneMs >= failsAtMs;
        for (const { executorIndex, key } of members) {
            const list = this.ends[executorIndex];
            list?.push({ jobId: view.job.jobId, key, isFailure, at: this.now });
            list?.splice(0, list.length - MAX_KEPT_ENDS);
        }
        if (isDone) {
            this.recordSamples(group);
        }
        else if (isFailure) {
            members.forEach(({ key }) => this.saved.set(taskName(view.job.jobId, key), this.savedWork(group)));
        }
        else {
            // A run with checkpoints saves its work when it is stopped.
            this.recordLostWork(group, step.hasCheckpoints ? doneMs : 0);
        }
        this.release(group, { isDone }, isFailure);
        this.concludeIfDone(view, group, isFailure);
        this.removeClosedJobs();
    }

    private release(
        { view: { job: { jobId } }, members }: FakeGroup,
        change: Partial<TaskProgress>,
        isFailure = false,
    ): void {
        for (const { key } of members) {
            const failures = (this.progress.get(jobId)?.[key]?.failures ?? 0) + Number(isFailure);
            this.update(jobId, key, { ...change, failures, placement: undefined });
        }
    }

    private recordSamples({ view, step, members }: FakeGroup): void {
        const places = members.map(({ executorIndex }) => ({
            vm: this.options.executors[executorIndex]?.vm ?? "",
            born: 0,
        }));
        for (const { jobId, key, run, firstPercent = 0, firstListedAt = this.now } of members) {
            const share = 1 - firstPercent / 100;
            if (share >= MIN_SAMPLED_SHARE) {
                const actualMs = (this.now - firstListedAt) / share;
                const ended = { jobId, key, run, places, step, workMs: actualMs, endedAt: this.now };
                const sample = {
                    queue: view.queue.name,
                    declaredMs: step.declaredMs,
                    actualMs,
                    run: sampledRunOf(ended),
                };
                this.samples.push(sample);
                this.speeds.add(sample);
            }
        }
        this.samples.splice(0, this.samples.length - MAX_KEPT_SAMPLES);
    }

    private concludeIfDone({ job: { jobId, steps } }: JobView, { members }: FakeGroup, isFailure: boolean): void {
        const tasks = this.progress.get(jobId) ?? {};
        const { maxAttempts = Infinity } = this.options;
        if (isFailure && members.some(({ key }) => (tasks[key]?.failures ?? 0) >= maxAttempts)) {
            this.close(jobId, "failed");
        }
        const keys = steps.flatMap((step, index) => stepKeys(step, 0, index));
        const record = this.records.get(jobId);
        if (record !== undefined && this.jobs.has(jobId) && keys.every(key => tasks[key]?.isDone === true)) {
            record.endedAt = this.now;
            this.jobs.delete(jobId);
        }
    }

    /** Ends a job before its work is done. It stays in the view until its runs have ended. */
    private close(jobId: string, outcome: "cancelled" | "failed"): void {
        const view = this.jobs.get(jobId);
        if (view === undefined) {
            return;
        }
        this.jobs.set(jobId, { ...view, progress: { ...view.progress, outcome } });
        for (const { members } of this.groups.filter(group => group.view.job.jobId === jobId)) {
            members.slice(0, 1).forEach(run => {
                this.stop(run);
            });
        }
        this.removeClosedJobs();
        this.nextPassAt = this.now;
    }

    private removeClosedJobs(): void {
        const running = new Set(this.groups.map(({ view }) => view.job.jobId));
        for (const [jobId, { progress: { outcome } }] of this.jobs) {
            if (outcome !== "open" && !running.has(jobId)) {
                this.jobs.delete(jobId);
            }
        }
    }
}
