import { CapacityIndex } from "./capacityIndex.js";
import type { ClusterView, QueuedJob, VmView } from "./clusterView.js";
import { fitGang } from "./gangFit.js";
import { fitsGuarantee } from "./guaranteedPlacement.js";
import { failsEverywhere } from "./jobHealth.js";
import { gangAccelerators } from "./jobTraits.js";
import type { PassContext } from "./passContext.js";
import { gangShapeKey } from "./passContext.js";
import { covers, memberDemand } from "./resources.js";

/** Checks whether a gang fits the empty inventory. VMs in any condition count, including lost ones, which may return. */
export class InventoryFeasibility {
    readonly #view: ClusterView;
    readonly #feasibleByShape = new Map<string, boolean>();
    /** VMs that no earlier VM covers in all resources; they decide the feasibility of a gang of one VM without an index. */
    readonly #maximalVms: VmView[] = [];
    #index: CapacityIndex | undefined;

    constructor(view: ClusterView) {
        this.#view = view;
        for (const vm of view.vms) {
            if (!this.#maximalVms.some(other => covers(other, vm))) {
                this.#maximalVms.push(vm);
            }
        }
    }

    isFeasible({ spec: { gang } }: QueuedJob): boolean {
        if (gang.vms === 1) {
            const demand = memberDemand(gang);
            return this.#maximalVms.some(vm => covers(vm, demand));
        }
        const key = gangShapeKey(gang);
        const cached = this.#feasibleByShape.get(key);
        if (cached !== undefined) {
            return cached;
        }
        this.#index ??= new CapacityIndex(
            this.#view.vms,
            ({ accelerators, cores, memoryMb }) => ({ accelerators, cores, memoryMb }),
            () => true,
        );
        const nodes = fitGang(this.#index, {
            vms: gang.vms,
            demand: memberDemand(gang),
            adjacency: gang.adjacency,
            accepts: () => true,
            cost: ({ position }) => position,
        });
        this.#feasibleByShape.set(key, nodes !== undefined);
        return nodes !== undefined;
    }
}

/** Refuses a job that failed on too many healthy workers. */
export const refuseIfFailsEverywhere = ({ cluster, decisions }: PassContext, job: QueuedJob): boolean => {
    if (job.failedOn.length === 0) {
        return false;
    }
    // A quarantined worker fails the tasks of all jobs, so a failure there is not attributed to this job.
    const isHealthy = (vmId: string): boolean => {
        const condition = cluster.vmById(vmId)?.vm.condition;
        return condition === "ready" || condition === "draining";
    };
    if (!failsEverywhere(job.failedOn, isHealthy)) {
        return false;
    }
    const workers = [...new Set(job.failedOn.filter(isHealthy))];
    decisions.refuse(job, "failsEverywhere", "failsEverywhere", { count: workers.length, workers: workers.join(", ") });
    return true;
};

/** Refuses a job that would not fit the empty inventory, or that exceeds the quota of its team. */
export const refuseIfInfeasible = (context: PassContext, inventory: InventoryFeasibility, job: QueuedJob): boolean => {
    const { teamUsage, decisions } = context;
    const { gang, team } = job.spec;
    const quota = teamUsage.quotaAccelerators(team);
    if (gang.adjacency === "vm" && gang.vms > 1) {
        decisions.refuse(job, "neverFits", "separateVms", { vms: gang.vms });
        return true;
    }
    if (!inventory.isFeasible(job)) {
        decisions.refuse(job, "neverFits", "shapeTooLarge", {
            vms: gang.vms,
            adjacency: gang.adjacency,
            accelerators: gang.acceleratorsPerVm,
            cores: gang.coresPerVm,
            memoryMb: gang.memoryMbPerVm,
        });
        return true;
    }
    // A guarantee is promised capacity, so jobs that fit one are exempt from the quota.
    if (gangAccelerators(gang) > quota && !fitsGuarantee(context, job)) {
        decisions.refuse(job, "neverFits", "quotaTooSmall", { accelerators: gangAccelerators(gang), quota });
        return true;
    }
    return false;
};
