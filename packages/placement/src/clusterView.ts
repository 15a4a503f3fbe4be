import type { Guarantee, Rules, Team } from "@persimmonpitch/schema/configuration.js";
import type { GangMember, JobSpec } from "@persimmonpitch/schema/job.js";

/** Condition of a VM, which decides whether a placement pass may use it. */
export type VmCondition =
    /** Accepts new jobs. */
    | "ready"
    /** Finishes its jobs and accepts no new ones. */
    | "draining"
    /** Failed too many tasks; accepts one task at a time as a probe. */
    | "quarantined"
    /** Has not reported in the current epoch, or is lost. */
    | "unknown";

/** A worker VM with its free resources. */
export interface VmView {
    readonly vmId: string;
    readonly rack: string;
    readonly dataCentre: string;
    readonly condition: VmCondition;
    readonly accelerators: number;
    readonly freeAccelerators: number;
    readonly cores: number;
    readonly freeCores: number;
    readonly memoryMb: number;
    readonly freeMemoryMb: number;
}

/** A job that holds accelerators: it is starting, running or stopping. */
export interface PlacedJob {
    readonly jobId: string;
    readonly spec: JobSpec;
    readonly members: readonly GangMember[];
    /** Wall time at which the job started. */
    readonly startedAt: number;
    /** The job was ordered to stop; its accelerators are freed once every member has stopped. */
    readonly stopping: boolean;
}

/** A waiting job. */
export interface QueuedJob {
    readonly jobId: string;
    readonly spec: JobSpec;
    readonly submittedAt: number;
    /** VMs on which an earlier attempt failed. */
    readonly failedOn: readonly string[];
    /** Share of the work that a checkpoint has saved, from 0 to 1. */
    readonly savedProgress: number;
}

/** Binding of a guaranteed instance to cells, which are accelerators of certain VMs. */
export interface GuaranteeBinding {
    readonly team: string;
    readonly name: string;
    /** Index among the instances of the guarantee, from 0. */
    readonly instance: number;
    readonly cells: readonly GangMember[];
    /** Job of the owning team that uses the instance, or waits for its cells to be freed. */
    readonly jobId?: string;
}

/** Predicts the run times of jobs from their specs. */
export interface RunTimePredictor {
    /** Expected run time of a job in milliseconds. */
    expectedMs(spec: JobSpec): number;
    /** Run time in milliseconds that the job exceeds only rarely. */
    upperBoundMs(spec: JobSpec): number;
}

/** Input of a placement pass. All times are wall times in milliseconds. */
export interface ClusterView {
    readonly now: number;
    readonly vms: readonly VmView[];
    readonly placed: readonly PlacedJob[];
    readonly queued: readonly QueuedJob[];
    readonly guarantees: readonly Guarantee[];
    readonly bindings: readonly GuaranteeBinding[];
    readonly teams: readonly Team[];
    readonly rules: Rules;
    readonly runTimes: RunTimePredictor;
}
