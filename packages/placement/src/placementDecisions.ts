import type { GangMember } from "@persimmonpitch/schema/job.js";
import type { GuaranteeBinding } from "./clusterView.js";

/** Starts a job on the given members, whose resources are free now. */
export interface StartDecision {
    readonly jobId: string;
    readonly members: readonly GangMember[];
}

/** Preempts a job so that another can use its accelerators. */
export interface PreemptDecision {
    readonly jobId: string;
    readonly forJobId: string;
}

/** Refuses a job that can never run. */
export interface RefuseDecision {
    readonly jobId: string;
    readonly reason: WaitReason;
    readonly detail: string;
}

/** Why a job waits or is refused. */
export type WaitReason =
    | "noCapacity"
    | "reservedForLargerJob"
    | "quotaReached"
    | "waitingForPreemption"
    | "fairShare"
    | "neverFits"
    | "failsEverywhere";

/** Explains why a job waits. */
export interface WaitExplanation {
    readonly jobId: string;
    readonly reason: WaitReason;
    readonly detail: string;
}

/** A guaranteed instance that is not met, because it has no cells or some of them are on VMs that accept no jobs. */
export interface UnmetGuarantee {
    readonly team: string;
    readonly name: string;
    readonly instance: number;
}

/** Result of a placement pass. */
export interface PlacementDecisions {
    readonly starts: readonly StartDecision[];
    readonly preemptions: readonly PreemptDecision[];
    readonly refusals: readonly RefuseDecision[];
    readonly waiting: readonly WaitExplanation[];
    readonly bindings: readonly GuaranteeBinding[];
    readonly unmetGuarantees: readonly UnmetGuarantee[];
}
