import type { JobState } from "@persimmonpitch/schema/job.js";
import type { FreeSample } from "./fragmentation.js";
import type { Trace, TraceJob } from "./traceSchema.js";

/** What became of one job in a replay. */
export interface JobResult {
    readonly trace: TraceJob;
    /** When a submission was accepted; later than `trace.submitAt` if the store was down. */
    readonly acceptedAt: number;
    /** When the tasks of the first attempt ran. */
    readonly firstRunAt: number | undefined;
    /** When the answer was there, or when the replay ended without one. */
    readonly endedAt: number;
    readonly state: JobState;
    readonly preemptions: number;
    /** An attempt was ended by a lost VM or a failing worker, or a store outage kept the job from starting. */
    readonly wasHitByFault: boolean;
    /** Urgent, and covered by a guaranteed instance that the team did not use at submission. */
    readonly isWithinGuarantee: boolean;
    /** A pass ended without starting the job. */
    readonly hadToWait: boolean;
    /** The policy reported the guarantee as unmet while a VM was lost. */
    readonly wasUnmet: boolean;
}

/** Time that a large gang spent at the head of the queue. */
export interface HeadWait {
    readonly jobId: string;
    readonly waitMs: number;
    readonly boundMs: number;
}

/** Free accelerators from one placement pass to the next. */
export interface TimedSample extends FreeSample {
    readonly at: number;
    readonly untilAt: number;
}

/** Everything that the measures are computed from. */
export interface ReplayResult {
    readonly trace: Trace;
    readonly jobs: readonly JobResult[];
    readonly samples: readonly TimedSample[];
    readonly headWaits: readonly HeadWait[];
    readonly endedAt: number;
    readonly passes: number;
    /** Accelerator-milliseconds that jobs held. */
    readonly heldTime: number;
    /** Accelerator-milliseconds of work done twice, or spent in the grace, because of preemption. */
    readonly lostToPreemption: number;
    /** The same because of lost VMs and failing workers. */
    readonly lostToFaults: number;
    /** Estimated bytes of control messages between data centres. */
    readonly bytesAcross: number;
}
