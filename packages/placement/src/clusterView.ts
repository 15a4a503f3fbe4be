import type { Guarantee, Rules, Team } from "@persimmonpitch/schema/configuration.js";
import type { GangMember, JobSpec } from "@persimmonpitch/schema/job.js";

/** What a placement pass may do with a VM. */
export type VmCondition =
    /** Takes new work. */
    | "ready"
    /** Finishes its work and takes none. */
    | "draining"
    /** Failed too many tasks; takes one task at a time as a probe. */
    | "quarantined"
    /** Has not reported under the present epoch, or is lost. */
    | "unknown";

/** A worker VM with what is free on it. */
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

/** A job that holds accelerators. */
export interface PlacedJob {
    readonly jobId: string;
    readonly spec: JobSpec;
    readonly members: readonly GangMember[];
    /** Wall time of the start. */
    readonly startedAt: number;
    /** Already told to stop; its accelerators come free when every member has stopped. */
    readonly stopping: boolean;
}

/** A job that waits. */
export interface QueuedJob {
    readonly jobId: string;
    readonly spec: JobSpec;
    readonly submittedAt: number;
    /** VMs on which an earlier attempt failed. */
    readonly failedOn: readonly string[];
    /** Share of the work that a checkpoint has saved, from 0 to 1. */
    readonly savedProgress: number;
}

/** The cells that a guaranteed instance is bound to. */
export interface GuaranteeBinding {
    readonly team: string;
    readonly name: string;
    /** Position among the instances of the guarantee, from 0. */
    readonly instance: number;
    readonly cells: readonly GangMember[];
    /** The job of the owner that uses the instance. */
    readonly jobId?: string;
}

/** Ratio of true to declared run time, learned for each team and class. */
export interface RunTimeCorrection {
    /** Expected run time of a job in milliseconds. */
    expected(spec: JobSpec): number;
    /** A run time that the job exceeds only rarely. */
    upper(spec: JobSpec): number;
}

/** Everything that a placement pass decides on. All times are wall times in milliseconds. */
export interface ClusterView {
    readonly now: number;
    readonly vms: readonly VmView[];
    readonly placed: readonly PlacedJob[];
    readonly queued: readonly QueuedJob[];
    readonly guarantees: readonly Guarantee[];
    readonly bindings: readonly GuaranteeBinding[];
    readonly teams: readonly Team[];
    readonly rules: Rules;
    readonly runTimes: RunTimeCorrection;
}
