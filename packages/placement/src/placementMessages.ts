import type { MessageTable } from "@persimmonpitch/findings/messageTable.js";

type MessageId =
    | "noCapacity"
    | "noUnboundCells"
    | "tooLongToBorrow"
    | "reservationHolder"
    | "reservedForLargerJob"
    | "quotaReached"
    | "waitingForPreemption"
    | "fairShare"
    | "shapeTooLarge"
    | "separateVms"
    | "quotaTooSmall"
    | "failsEverywhere";

/** Detail messages that explain waits and refusals to callers. */
export const PLACEMENT_MESSAGES: MessageTable<MessageId> = {
    noCapacity:
        "The gang needs VMs (count {vms}, adjacency {adjacency}) with {accelerators} free accelerators each; none are free.",
    noUnboundCells:
        "The work cannot be stopped, so it needs VMs (count {vms}, adjacency {adjacency}) with {accelerators} free accelerators each outside the cells bound to guarantees; none are free.",
    tooLongToBorrow:
        "The work writes no checkpoints and takes too long to be stopped and started again, so it needs VMs (count {vms}, adjacency {adjacency}) with {accelerators} free accelerators each outside the cells bound to guarantees until it has waited as long as it runs; none are free.",
    reservationHolder: "VMs are reserved for the job and are expected to come free in {seconds} s.",
    reservedForLargerJob: "The free VMs are reserved for job {jobId}, which this job would delay.",
    quotaReached: "The team holds {held} accelerators of its quota of {quota}.",
    waitingForPreemption: "The job has its VMs; other jobs on them are being stopped.",
    fairShare: "The team holds {held} accelerators; its fair share is {share}.",
    shapeTooLarge:
        "The inventory has no VMs (count {vms}, adjacency {adjacency}) with {accelerators} accelerators, {cores} cores and {memoryMb} MB each.",
    separateVms: "Every member runs on a VM of its own, so {vms} members cannot have adjacency vm.",
    quotaTooSmall: "The gang needs {accelerators} accelerators, which is more than the team's quota of {quota}.",
    failsEverywhere: "The job failed on {count} workers on which other jobs succeed: {workers}.",
};
