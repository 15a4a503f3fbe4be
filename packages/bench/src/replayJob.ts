import type { QueuedJob } from "@persimmonpitch/placement/clusterView.js";
import type { Guarantee } from "@persimmonpitch/schema/configuration.js";
import type { Adjacency, GangShape } from "@persimmonpitch/schema/gang.js";
import type { GangMember, JobSpec, JobState } from "@persimmonpitch/schema/job.js";
import type { TraceJob } from "./traceSchema.js";

/** Why a running job was told to stop. */
export type StopReason = "preempted" | "cancelled" | "vmLost";

/** A gang of this many accelerators counts as large in section 12. */
export const LARGE_GANG = 16;

/** A job during a replay. */
export interface ReplayJob {
    readonly trace: TraceJob;
    readonly size: number;
    readonly acceptedAt: number;
    readonly isWithinGuarantee: boolean;
    state: JobState;
    attempt: number;
    members: readonly GangMember[];
    /** When the present attempt was decided on. */
    startedAt: number;
    /** When its tasks run. */
    runsFrom: number;
    stopReason: StopReason | undefined;
    stopAskedAt: number;
    savedProgress: number;
    failedOn: readonly string[];
    firstRunAt: number | undefined;
    endedAt: number | undefined;
    preemptions: number;
    wasHitByFault: boolean;
    hadToWait: boolean;
    wasUnmet: boolean;
    /** When the job came to the head of the queue, and how long it may stay there. */
    head: { readonly at: number; mayWaitUntil: number; } | undefined;
}

/** A job that was just accepted. */
export const acceptJob = (trace: TraceJob, acceptedAt: number, isWithinGuarantee: boolean): ReplayJob => ({
    trace,
    size: trace.spec.gang.vms * trace.spec.gang.acceleratorsPerVm,
    acceptedAt,
    isWithinGuarantee,
    state: "queued",
    attempt: 0,
    members: [],
    startedAt: 0,
    runsFrom: 0,
    stopReason: undefined,
    stopAskedAt: 0,
    savedProgress: 0,
    failedOn: [],
    firstRunAt: undefined,
    endedAt: undefined,
    preemptions: 0,
    wasHitByFault: false,
    hadToWait: false,
    wasUnmet: false,
    head: undefined,
});

/** The job as a placement pass sees it while it waits. */
export const queuedView = ({ trace, acceptedAt, failedOn, savedProgress }: ReplayJob): QueuedJob => ({
    jobId: trace.jobId,
    spec: trace.spec,
    submittedAt: acceptedAt,
    failedOn,
    savedProgress,
});

/** Whether work may be stopped to give its accelerators to other work (section 9). */
export const isPreemptible = ({ idempotent, checkpointable }: JobSpec): boolean => idempotent || checkpointable;

/** Progress of the present attempt at `at`, from 0 to 1. */
export const progressAt = ({ trace, savedProgress, runsFrom }: ReplayJob, at: number): number =>
    Math.min(1, savedProgress + Math.max(0, at - runsFrom) / trace.trueRunMs);

/** When the present attempt ends if nothing stops it. */
export const trueEnd = ({ trace, savedProgress, runsFrom }: ReplayJob): number =>
    runsFrom + (1 - savedProgress) * trace.trueRunMs;

const ADJACENCY_RANK: Readonly<Record<Adjacency, number>> = { vm: 0, rack: 1, dataCentre: 2, any: 3 };

/** Whether a guaranteed shape has room for the gang. */
export const covers = ({ shape }: Guarantee, gang: GangShape): boolean =>
    gang.vms <= shape.vms && gang.acceleratorsPerVm <= shape.acceleratorsPerVm
    && ADJACENCY_RANK[shape.adjacency] <= ADJACENCY_RANK[gang.adjacency]
    && gang.coresPerVm <= shape.coresPerVm && gang.memoryMbPerVm <= shape.memoryMbPerVm;
