import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { Queue, Team } from "@persimmonpitch/workload/clusterConfig.js";
import type { JobProgress } from "@persimmonpitch/workload/progress.js";
import type { Demand, Step } from "@persimmonpitch/workload/step.js";
import type { StepJob } from "@persimmonpitch/workload/stepJob.js";
import type { Timings } from "@persimmonpitch/workload/timings.js";

/** A run that holds resources of an executor, from the order to start it until its end. */
export interface RunView {
    readonly jobId: string;
    /** Key of the task within its job. */
    readonly key: string;
    readonly run: number;
    /** Resources that it holds. */
    readonly demand: Demand;
    /** Time of the order to start it, on the clock of `now`. */
    readonly orderedAt: Millis;
    readonly isStopping: boolean;
    /** Progress from 0 to 100; undefined until the executor lists the run. */
    readonly percent: number | undefined;
    /** When `percent` last rose. */
    readonly progressAt: Millis | undefined;
    /**
     * Progress when the executor first listed the run, which is the progress of the checkpoint that it resumed from.
     */
    readonly firstPercent: number | undefined;
    /** When the executor first listed the run. */
    readonly firstListedAt: Millis | undefined;
}

/** The end of a run on an executor. */
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
    /** Incarnation of the executor. */
    readonly born?: number;
    readonly service: string;
    readonly rack: string | undefined;
    readonly labels: readonly string[];
    readonly capacity: Demand;
    /** Whether new work may be placed on it: it is attached, answers, and neither drains nor is evacuated. */
    readonly takesWork: boolean;
    /** Time until a draining executor leaves; undefined if it is not draining. */
    readonly leavesInMs: Millis | undefined;
    /** How much longer the executor works slowly after its start; undefined or 0 if it is not cold. */
    readonly coldRemainingMs?: Millis;
    readonly runs: readonly RunView[];
    /** When the executor last listed its runs; undefined before its first list. */
    readonly listedAt: Millis | undefined;
    /** In order of time. */
    readonly recentEnds: readonly EndView[];
}

/** An open job. */
export interface JobView {
    readonly job: StepJob;
    readonly progress: JobProgress;
    readonly queue: Queue;
}

/** A VM on which a sampled run or a member of its gang ran, and the incarnation of its executor. */
export interface SampledPlace {
    readonly vm: string;
    readonly born: number;
}

/** What the speeds of executors are learned from: where and how long a sampled run worked. */
export interface SampledRun {
    /** For a gang, the places of all members: they run at the speed of the slowest one. */
    readonly places: readonly SampledPlace[];
    readonly step: Step;
    /** Id of the step, equal for all its occurrences. */
    readonly stepId: string;
    /** Equal for the members of a gang. */
    readonly groupId: string;
    /** Run time of the whole task; for a gang, since its last member was listed. */
    readonly workMs: Millis;
    /** On the clock of the process that recorded it. */
    readonly endedAt: Millis;
}

/** Declared and actual run time of a task that ended. */
export interface RunSample {
    readonly queue: string;
    readonly declaredMs: Millis;
    readonly actualMs: Millis;
    readonly run?: SampledRun;
}

/** Ids of the executors with a valid ticket, by the name of the step, for steps whose queue requires advice. */
export type AdvisedExecutors = ReadonlyMap<string, ReadonlySet<string>>;

/**
 * Everything that one pass decides on. Times, `acceptedAt` of jobs included, are on the clock of `now`; `wallTime` is
 * for due times of repetitions only.
 */
export interface DispatchView {
    readonly now: Millis;
    readonly wallTime: Millis;
    readonly timings: Timings;
    readonly teams: readonly Team[];
    readonly jobs: readonly JobView[];
    readonly executors: readonly ExecutorView[];
    /** Tasks of all queues that ended recently. */
    readonly samples: readonly RunSample[];
    /** A step whose queue requires advice does not start unless it has an entry. */
    readonly advised?: AdvisedExecutors;
    /** Ids of the steps that earlier passes had no search left for and that this pass searches for. */
    readonly searchTurns?: ReadonlySet<string>;
    /** Learned slowness of the executors by VM; those of normal speed have no entry. */
    readonly slowness?: ReadonlyMap<string, number>;
}

/** Tasks of one step that start together with one run number: a whole gang, or one task. */
export interface StartDecision {
    readonly kind: "start";
    readonly jobId: string;
    readonly run: number;
    readonly tasks: readonly { readonly key: string; readonly vm: string; readonly executorId: string; }[];
}

/** Why a run is stopped. */
export type StopReason = "preempted" | "stalled" | "slow" | "draining";

/**
 * A run that has to end; its task starts again later, from its checkpoint if it has one. For a gang, all members are
 * named.
 */
export interface StopDecision {
    readonly kind: "stop";
    readonly jobId: string;
    readonly key: string;
    readonly run: number;
    readonly reason: StopReason;
}

/** A decision of a pass. */
export type DispatchDecision = StartDecision | StopDecision;
