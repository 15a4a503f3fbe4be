import type { JobSpec } from "@persimmonpitch/schema/job.js";
import type { VmNode } from "./capacityIndex.js";
import { CapacityIndex } from "./capacityIndex.js";
import type { ClusterView, PlacedJob, VmView } from "./clusterView.js";
import { isPreemptible } from "./jobTraits.js";
import type { MutableResources, Resources } from "./resources.js";
import {
    addResources,
    isAnyPositive,
    memberDemand,
    minResources,
    ROUNDING_TOLERANCE,
    subtractResources,
    zeroResources,
} from "./resources.js";

/** State of a placed job during a pass. */
export interface PlacedJobState {
    readonly job: PlacedJob;
    readonly preemptible: boolean;
    readonly allocations: readonly VmAllocation[];
    /** Runs in a guaranteed instance of its team, so it is not a borrower. */
    usesGuarantee: boolean;
    stopping: boolean;
    /** Wall time at which the job is expected to end; computed when a reservation plan first needs it. */
    expectedEndAt: number | undefined;
}

/** Resources that a placed job holds on one VM. */
export interface VmAllocation {
    readonly vm: VmState;
    readonly resources: Resources;
}

/** Reservation of VMs for a job that does not fit now. */
export interface Reservation {
    readonly jobId: string;
    /** Wall time at which the VMs are expected to be free. */
    readonly readyAt: number;
    /** Whether the reserving job may preempt a job of this spec when it needs the VMs. */
    readonly mayPreempt: (spec: JobSpec, startedAt: number) => boolean;
    /** The wait must not exceed that for the jobs on the VMs now, so no other non-preemptible job may backfill them. */
    readonly isWaitBounded: boolean;
}

/** State of a VM during a pass. */
export interface VmState {
    readonly vm: VmView;
    readonly node: VmNode;
    /** Held by stopping jobs and not yet allocated to a waiting job. */
    readonly releasing: MutableResources;
    /** Bound to guaranteed instances. */
    readonly bound: MutableResources;
    /** Held by non-preemptible jobs that run outside guaranteed instances. */
    readonly nonPreemptible: MutableResources;
    /** Bound to guaranteed instances and not used by jobs of the owning team. */
    readonly idleBound: MutableResources;
    readonly placed: PlacedJobState[];
    reservation: Reservation | undefined;
}

const freeResourcesOf = (vm: VmView): MutableResources => ({
    accelerators: vm.freeAccelerators,
    cores: vm.freeCores,
    memoryMb: vm.freeMemoryMb,
});

/** Whether a VM accepts new jobs. */
export const isReady = ({ condition }: VmView): boolean => condition === "ready";

/** Capacity of a VM that is neither bound to guarantees nor held by non-preemptible jobs outside them. */
export const unboundCapacity = ({ vm, bound, nonPreemptible }: VmState): MutableResources => {
    const capacity = subtractResources(vm, bound);
    addResources(capacity, nonPreemptible, -1);
    return capacity;
};

/** Whether the unbound capacity of a VM covers the demand; equivalent to `covers` on `unboundCapacity`, without the object. */
export const unboundCapacityCovers = ({ vm, bound, nonPreemptible }: VmState, demand: Resources): boolean =>
    vm.accelerators - bound.accelerators - nonPreemptible.accelerators >= demand.accelerators
    && vm.cores - bound.cores - nonPreemptible.cores >= demand.cores - ROUNDING_TOLERANCE
    && vm.memoryMb - bound.memoryMb - nonPreemptible.memoryMb >= demand.memoryMb - ROUNDING_TOLERANCE;

/** Free resources outside idle bound cells; negative where borrowers occupy the cells. */
export const unboundFreeResources = ({ node, idleBound }: VmState): MutableResources =>
    subtractResources(node.available, idleBound);

/**
 * Resources in use on each VM that no placed job accounts for. Held in arrays by position rather than in an object per
 * VM, because the values are only needed while the state is built.
 */
class UnaccountedUsage {
    readonly #accelerators: Float64Array;
    readonly #cores: Float64Array;
    readonly #memoryMb: Float64Array;

    constructor(vms: readonly VmState[]) {
        this.#accelerators = new Float64Array(vms.length);
        this.#cores = new Float64Array(vms.length);
        this.#memoryMb = new Float64Array(vms.length);
        for (const { vm, node: { position, available } } of vms) {
            this.#accelerators[position] = vm.accelerators - available.accelerators;
            this.#cores[position] = vm.cores - available.cores;
            this.#memoryMb[position] = vm.memoryMb - available.memoryMb;
        }
    }

    subtract({ node: { position } }: VmState, { accelerators, cores, memoryMb }: Resources): void {
        this.#accelerators[position] = (this.#accelerators[position] ?? 0) - accelerators;
        this.#cores[position] = (this.#cores[position] ?? 0) - cores;
        this.#memoryMb[position] = (this.#memoryMb[position] ?? 0) - memoryMb;
    }

    usageOn({ node: { position } }: VmState): Resources {
        return {
            accelerators: this.#accelerators[position] ?? 0,
            cores: this.#cores[position] ?? 0,
            memoryMb: this.#memoryMb[position] ?? 0,
        };
    }

    isPresentOn(vm: VmState): boolean {
        return isAnyPositive(this.usageOn(vm));
    }
}

/** VMs and placed jobs during one pass; each decision updates them. */
export class ClusterState {
    readonly capacityIndex: CapacityIndex;
    readonly vms: readonly VmState[];
    readonly placedById = new Map<string, PlacedJobState>();
    readonly #byId = new Map<string, VmState>();

    constructor(view: ClusterView) {
        this.capacityIndex = new CapacityIndex(view.vms, freeResourcesOf, isReady);
        this.vms = this.capacityIndex.nodes.map((node): VmState => ({
            vm: node.vm,
            node,
            releasing: zeroResources(),
            bound: zeroResources(),
            nonPreemptible: zeroResources(),
            idleBound: zeroResources(),
            placed: [],
            reservation: undefined,
        }));
        for (const vm of this.vms) {
            this.#byId.set(vm.vm.vmId, vm);
        }
        const unaccounted = new UnaccountedUsage(this.vms);
        for (const job of view.placed) {
            this.#addPlaced(job, unaccounted);
        }
        for (const vm of this.vms) {
            this.#addUnaccounted(vm, unaccounted);
        }
    }

    vmById(vmId: string): VmState | undefined {
        return this.#byId.get(vmId);
    }

    vmOf(node: VmNode): VmState {
        const vm = this.vms[node.position];
        if (vm === undefined) {
            throw new RangeError(`Node ${node.position} is not part of this cluster.`);
        }
        return vm;
    }

    /** Marks a placed job as running in a guaranteed instance of its team. */
    markGuaranteed(placed: PlacedJobState): void {
        this.#setUsesGuarantee(placed, true);
    }

    /** Marks a placed job as running outside guaranteed instances. */
    unmarkGuaranteed(placed: PlacedJobState): void {
        this.#setUsesGuarantee(placed, false);
    }

    /** Allocates free resources to a job that starts. */
    allocate(vm: VmState, demand: Resources): void {
        this.capacityIndex.allocate(vm.node, demand);
    }

    /** Allocates free and releasing resources to a job that waits for its victims to stop. */
    allocatePending(vm: VmState, demand: Resources): void {
        const freePart = minResources(vm.node.available, demand);
        this.capacityIndex.allocate(vm.node, freePart);
        addResources(vm.releasing, subtractResources(demand, freePart), -1);
    }

    /** Marks a preempted job as stopping and counts its resources as releasing. */
    markStopping(placed: PlacedJobState): void {
        placed.stopping = true;
        for (const { vm, resources } of placed.allocations) {
            addResources(vm.releasing, resources);
        }
    }

    #setUsesGuarantee(placed: PlacedJobState, usesGuarantee: boolean): void {
        if (placed.usesGuarantee !== usesGuarantee && !placed.preemptible && !placed.stopping) {
            for (const { vm, resources } of placed.allocations) {
                addResources(vm.nonPreemptible, resources, usesGuarantee ? -1 : 1);
            }
        }
        placed.usesGuarantee = usesGuarantee;
    }

    #addPlaced(job: PlacedJob, unaccounted: UnaccountedUsage): void {
        const demand = memberDemand(job.spec.gang);
        const allocations: VmAllocation[] = [];
        const placed: PlacedJobState = {
            job,
            preemptible: isPreemptible(job.spec),
            allocations,
            usesGuarantee: false,
            stopping: job.stopping,
            expectedEndAt: undefined,
        };
        for (const { vmId, accelerators } of job.members) {
            const vm = this.#byId.get(vmId);
            if (vm !== undefined) {
                // Members normally hold exactly what the gang requests, so they share one object.
                const resources = accelerators === demand.accelerators ? demand : { ...demand, accelerators };
                allocations.push({ vm, resources });
                vm.placed.push(placed);
                unaccounted.subtract(vm, resources);
                if (placed.stopping) {
                    addResources(vm.releasing, resources);
                }
                else if (!placed.preemptible) {
                    addResources(vm.nonPreemptible, resources);
                }
            }
        }
        this.placedById.set(job.jobId, placed);
    }

    /** Counts unaccounted use as non-preemptible, because it cannot be reclaimed. */
    #addUnaccounted(vm: VmState, unaccounted: UnaccountedUsage): void {
        if (unaccounted.isPresentOn(vm)) {
            addResources(vm.nonPreemptible, minResources(unaccounted.usageOn(vm), vm.vm));
        }
    }
}
