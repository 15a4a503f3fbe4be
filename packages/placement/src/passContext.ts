import type { GangShape } from "@persimmonpitch/schema/gang.js";
import type { ClusterState, PlacedJobState, VmState } from "./clusterState.js";
import type { ClusterView, QueuedJob } from "./clusterView.js";
import type { DecisionRecorder } from "./decisionRecorder.js";
import type { GuaranteeTable } from "./guaranteeTable.js";
import type { PlacementOptions } from "./placementOptions.js";
import { addResources, memberDemand } from "./resources.js";
import type { RunTimeEstimates } from "./runTimeEstimates.js";
import type { TeamUsage } from "./teamUsage.js";

/** State that all steps of a placement pass share. */
export interface PassContext {
    readonly view: ClusterView;
    readonly options: PlacementOptions;
    readonly cluster: ClusterState;
    readonly guaranteeTable: GuaranteeTable;
    readonly teamUsage: TeamUsage;
    readonly estimates: RunTimeEstimates;
    readonly decisions: DecisionRecorder;
}

/** Key that is equal for gangs of the same shape and demand. */
export const gangShapeKey = ({ vms, acceleratorsPerVm, adjacency, coresPerVm, memoryMbPerVm }: GangShape): string =>
    `${vms} ${acceleratorsPerVm} ${adjacency} ${coresPerVm} ${memoryMbPerVm}`;

/** Starts a job outside guaranteed instances. */
export const startWithoutGuarantee = (
    { cluster, teamUsage, decisions }: PassContext,
    job: QueuedJob,
    vms: readonly VmState[],
    preemptible: boolean,
): void => {
    const demand = memberDemand(job.spec.gang);
    for (const vm of vms) {
        cluster.allocate(vm, demand);
        if (!preemptible) {
            addResources(vm.nonPreemptible, demand);
        }
    }
    teamUsage.addJob(job.spec);
    decisions.start(job, vms);
};

/** Preempts the victims and allocates the VMs to the job, which starts once the victims have stopped. */
export const preemptAndAllocate = (
    { cluster, decisions }: PassContext,
    job: QueuedJob,
    vms: readonly VmState[],
    victims: readonly PlacedJobState[],
): void => {
    for (const victim of victims) {
        cluster.markStopping(victim);
        decisions.preempt(victim.job.jobId, job.jobId);
    }
    const demand = memberDemand(job.spec.gang);
    for (const vm of vms) {
        cluster.allocatePending(vm, demand);
    }
    decisions.wait(job, "waitingForPreemption", "waitingForPreemption");
};
