import type { VmCondition, VmView } from "@persimmonpitch/placement/clusterView.js";
import type { InventoryVm } from "@persimmonpitch/schema/configuration.js";
import type { GangShape } from "@persimmonpitch/schema/gang.js";
import type { GangMember } from "@persimmonpitch/schema/job.js";

/** Tasks of different jobs that a worker fails in a row before it is quarantined (section 9). */
const QUARANTINE_FAILURES = 3;

/** A policy broke an invariant; the replay ends. */
export class ReplayError extends Error {
    override readonly name = "ReplayError";
}

interface Worker {
    readonly vm: InventoryVm;
    isLost: boolean;
    isFailing: boolean;
    isQuarantined: boolean;
    /** Jobs failed in a row. */
    failedJobs: Set<string>;
    accelerators: number;
    cores: number;
    memoryMb: number;
}

/** The fake workers and what is free on them; taking what is not free throws. */
export class ReplayCluster {
    private readonly workers = new Map<string, Worker>();

    constructor(vms: readonly InventoryVm[]) {
        for (const vm of vms) {
            this.workers.set(vm.id, {
                vm,
                isLost: false,
                isFailing: false,
                isQuarantined: false,
                failedJobs: new Set(),
                accelerators: vm.accelerators,
                cores: vm.cores,
                memoryMb: vm.memoryMb,
            });
        }
    }

    /** The VMs as a placement pass sees them. */
    views(): VmView[] {
        return [...this.workers.values()].map((worker): VmView => ({
            vmId: worker.vm.id,
            rack: worker.vm.rack,
            dataCentre: worker.vm.dataCentre,
            condition: conditionOf(worker),
            accelerators: worker.vm.accelerators,
            freeAccelerators: worker.accelerators,
            cores: worker.vm.cores,
            freeCores: worker.cores,
            memoryMb: worker.vm.memoryMb,
            freeMemoryMb: worker.memoryMb,
        }));
    }

    /** Takes the room of a whole gang, or throws. */
    take(jobId: string, members: readonly GangMember[], shape: GangShape): void {
        if (members.length !== shape.vms || new Set(members.map(({ vmId }) => vmId)).size !== shape.vms) {
            throw new ReplayError(
                `job ${jobId} was started on ${members.length} VMs, not all different, or not the ${shape.vms} it needs`,
            );
        }
        this.checkAdjacency(jobId, members, shape);
        for (const { vmId, accelerators } of members) {
            const worker = this.worker(vmId);
            if (accelerators !== shape.acceleratorsPerVm) {
                throw new ReplayError(`job ${jobId} was given ${accelerators} accelerators on ${vmId}`);
            }
            const condition = conditionOf(worker);
            const isIdle = worker.accelerators === worker.vm.accelerators;
            if (condition !== "ready" && !(condition === "quarantined" && isIdle)) {
                throw new ReplayError(`job ${jobId} was started on ${vmId}, which is ${condition}`);
            }
            worker.accelerators -= accelerators;
            worker.cores -= shape.coresPerVm;
            worker.memoryMb -= shape.memoryMbPerVm;
            if (worker.accelerators < 0 || worker.cores < 0 || worker.memoryMb < 0) {
                throw new ReplayError(`job ${jobId} was started on ${vmId}, which has no room for it`);
            }
        }
    }

    /** Gives back the room of a gang. */
    release(members: readonly GangMember[], shape: GangShape): void {
        for (const { vmId, accelerators } of members) {
            const worker = this.worker(vmId);
            worker.accelerators += accelerators;
            worker.cores += shape.coresPerVm;
            worker.memoryMb += shape.memoryMbPerVm;
        }
    }

    /** Marks VMs as lost or back. */
    setLost(vmIds: readonly string[], isLost: boolean): void {
        for (const vmId of vmIds) {
            this.worker(vmId).isLost = isLost;
        }
    }

    /** Makes workers fail every task, or ends that. */
    setFailing(vmIds: readonly string[], isFailing: boolean): void {
        for (const vmId of vmIds) {
            this.worker(vmId).isFailing = isFailing;
        }
    }

    /** The first member whose worker fails every task. */
    failingMember(members: readonly GangMember[]): string | undefined {
        return members.find(({ vmId }) => this.worker(vmId).isFailing)?.vmId;
    }

    /** Counts a failed task towards quarantine. */
    recordFailure(vmId: string, jobId: string): void {
        const worker = this.worker(vmId);
        worker.failedJobs.add(jobId);
        worker.isQuarantined ||= worker.failedJobs.size >= QUARANTINE_FAILURES;
    }

    /** Ends a row of failures. */
    recordSuccess(members: readonly GangMember[]): void {
        for (const { vmId } of members) {
            const worker = this.worker(vmId);
            worker.failedJobs.clear();
            worker.isQuarantined = false;
        }
    }

    /** Number of members outside a data centre. */
    membersOutside(members: readonly GangMember[], dataCentre: string): number {
        return members.filter(({ vmId }) => this.worker(vmId).vm.dataCentre !== dataCentre).length;
    }

    /** Whether any VM is lost. */
    hasLostVm(): boolean {
        return [...this.workers.values()].some(({ isLost }) => isLost);
    }

    private checkAdjacency(jobId: string, members: readonly GangMember[], { adjacency }: GangShape): void {
        const places = new Set(members.map(({ vmId }) => {
            const { vm } = this.worker(vmId);
            return { vm: vm.id, rack: vm.rack, dataCentre: vm.dataCentre, any: "" }[adjacency];
        }));
        if (places.size > 1) {
            throw new ReplayError(`job ${jobId} needs one ${adjacency} and was spread over ${places.size}`);
        }
    }

    private worker(vmId: string): Worker {
        const worker = this.workers.get(vmId);
        if (worker === undefined) {
            throw new ReplayError(`there is no VM ${vmId}`);
        }
        return worker;
    }
}

const conditionOf = ({ isLost, isQuarantined }: Worker): VmCondition =>
    isLost ? "unknown" : isQuarantined ? "quarantined" : "ready";
