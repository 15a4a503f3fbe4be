import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { Queue, Team } from "@persimmonpitch/workload/clusterConfig.js";
import type { JobProgress } from "@persimmonpitch/workload/progress.js";
import type { Demand } from "@persimmonpitch/workload/step.js";
import type { StepJob } from "@persimmonpitch/workload/stepJob.js";
import type { Timings } from "@persimmonpitch/workload/timings.js";

/** A run that takes up room on an executor, from its order to its end. */
export interface RunView {
    readonly jobId: string;
    /** Key of the task within its job. */
    readonly key: string;
    readonly run: number;
    /** Time at which it was ordered, on the clock of `now`. */
    readonly orderedAt: Millis;
    readonly isStopping: boolean;
    /** Share of its work that is done, from 0 to 100; undefined until the executor lists the run. */
    readonly percent: number | undefined;
    /** When `percent` last rose. */
    readonly progressAt: Millis | undefined;
    /** Share of its work that was done when the executor first listed the run: what a checkpoint had saved. */
    readonly firstPercent: number | undefined;
    /** When the executor first listed the run. */
    readonly firstListedAt: Millis | undefined;
}

/** An end of a run on an executor, newest last. */
export interface EndView {
    readonly jobId: string;
    readonly key: string;
    readonly isFailure: boolean;
    readonly at: Millis;
}

/** An executor that can be reached. */
export interface ExecutorView {
    readonly vm: string;
    readonly executorId: string;
    readonly service: string;
    readonly rack: string | undefined;
    readonly labels: readonly string[];
    readonly capacity: Demand;
    /** Whether new work may be placed on it: it is attached, answers, and does not drain. */
    readonly takesWork: boolean;
    /** Time until a draining executor leaves, if it drains. */
    readonly leavesInMs: Millis | undefined;
    readonly runs: readonly RunView[];
    /** When the executor last listed its runs; undefined before it does for the first time. */
    readonly listedAt: Millis | undefined;
    readonly recentEnds: readonly EndView[];
}

/** An open job. */
export interface JobView {
    readonly job: StepJob;
    readonly progress: JobProgress;
    readonly queue: Queue;
}

/** What a task of a queue took in the end, against what was declared. */
export interface RunSample {
    readonly queue: string;
    readonly declaredMs: Millis;
    readonly actualMs: Millis;
}

/** By the name of a step whose queue requires advice, the executors with a valid ticket. */
export type AdvisedExecutors = ReadonlyMap<string, ReadonlySet<string>>;

/** Everything that one pass decides on. Times, `acceptedAt` of jobs included, are on the clock of `now`; `wallTime` is for due times of repetitions only. */
export interface DispatchView {
    readonly now: Millis;
    readonly wallTime: Millis;
    readonly timings: Timings;
    readonly teams: readonly Team[];
    readonly jobs: readonly JobView[];
    readonly executors: readonly ExecutorView[];
    /** Tasks that ended lately, of all queues. */
    readonly samples: readonly RunSample[];
    /** A step of a queue that requires advice and that is not named here waits. */
    readonly advised?: AdvisedExecutors;
}

/** Tasks of one step that start together under one run number: a whole gang, or one task. */
export interface StartDecision {
    readonly kind: "start";
    readonly jobId: string;
    readonly run: number;
    readonly tasks: readonly { readonly key: string; readonly vm: string; readonly executorId: string; }[];
}

/** Why a run is stopped. */
export type StopReason = "preempted" | "stalled" | "slow" | "draining";

/** A run that has to end; its task starts again later, from its checkpoint if it has one. For a gang, all members are named. */
export interface StopDecision {
    readonly kind: "stop";
    readonly jobId: string;
    readonly key: string;
    readonly run: number;
    readonly reason: StopReason;
}

/** What a pass decides. */
export type DispatchDecision = StartDecision | StopDecision;
