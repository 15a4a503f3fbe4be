import type { GangMember } from "@persimmonpitch/schema/job.js";
import type { GuaranteeBinding } from "./clusterView.js";

/** Start a job on these members, all of which are free now. */
export interface StartDecision {
    readonly jobId: string;
    readonly members: readonly GangMember[];
}

/** Stop a job so that another can have its accelerators. */
export interface PreemptDecision {
    readonly jobId: string;
    readonly forJobId: string;
}

/** A job that can never run, with the reason. */
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

/** A waiting job with the reason. */
export interface WaitExplanation {
    readonly jobId: string;
    readonly reason: WaitReason;
    readonly detail: string;
}

/** A guaranteed instance that fits nowhere in the present inventory. */
export interface UnmetGuarantee {
    readonly team: string;
    readonly name: string;
    readonly instance: number;
}

/** What a placement pass decided. */
export interface PlacementDecisions {
    readonly starts: readonly StartDecision[];
    readonly preemptions: readonly PreemptDecision[];
    readonly refusals: readonly RefuseDecision[];
    readonly waiting: readonly WaitExplanation[];
    readonly bindings: readonly GuaranteeBinding[];
    readonly unmet: readonly UnmetGuarantee[];
}
