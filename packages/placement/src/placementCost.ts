import type { VmNode } from "./capacityIndex.js";
import { unboundFreeResources } from "./clusterState.js";
import type { QueuedJob } from "./clusterView.js";
import type { PassContext } from "./passContext.js";
import type { Resources } from "./resources.js";

/** Added to the fragmentation cost when the job would split an entirely free VM. */
const VM_SPLIT_COST = 0.5;

/** Added to the fragmentation cost in proportion to the free accelerators of the rack, so that full racks are preferred. */
const RACK_AVAILABILITY_COST = 0.25;

/** Minimum weight of borrowed cells: a job in them may be preempted and run again even if completion time has no weight. */
const BORROWING_BASE_COST = 0.25;

/** Exceeds all other costs, so that a VM on which the job failed is chosen only if no other VM fits. */
const FAILED_VM_COST = 10;

/** Returns the cost function for placing one member of the job on a VM; lower is better. */
export const placementCost = (
    { view: { rules }, options, cluster }: PassContext,
    job: QueuedJob,
    demand: Resources,
): (node: VmNode) => number =>
(node: VmNode): number => {
    if (!options.bestFit) {
        return node.position;
    }
    const { available, vm, rack } = node;
    const leftover = available.accelerators - demand.accelerators;
    const splitCost = available.accelerators === vm.accelerators && leftover > 0 ? VM_SPLIT_COST : 0;
    const rackCost = RACK_AVAILABILITY_COST * rack.availableAccelerators / Math.max(1, rack.accelerators);
    const fragmentation = leftover / Math.max(1, vm.accelerators) + splitCost + rackCost;
    const borrowedAccelerators = demand.accelerators
        - Math.max(0, unboundFreeResources(cluster.vmOf(node)).accelerators);
    const borrowedShare = options.avoidBoundCells
        ? Math.max(0, borrowedAccelerators) / Math.max(1, demand.accelerators)
        : 0;
    return rules.fragmentationWeight * fragmentation + (BORROWING_BASE_COST + rules.completionWeight) * borrowedShare
        + (job.failedOn.includes(vm.vmId) ? FAILED_VM_COST : 0);
};
