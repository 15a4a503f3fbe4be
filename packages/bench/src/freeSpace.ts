import type { VmView } from "@persimmonpitch/placement/clusterView.js";
import type { Adjacency, GangShape } from "@persimmonpitch/schema/gang.js";
import type { GangMember } from "@persimmonpitch/schema/job.js";

interface FreeVm {
    readonly vmId: string;
    accelerators: number;
    cores: number;
    memoryMb: number;
}

type Domains = Readonly<Record<Adjacency, readonly (readonly FreeVm[])[]>>;

const groupBy = (vms: readonly VmView[], free: ReadonlyMap<string, FreeVm>, key: (vm: VmView) => string) => {
    const groups = new Map<string, FreeVm[]>();
    for (const vm of vms) {
        const entry = free.get(vm.vmId);
        if (entry !== undefined) {
            const group = groups.get(key(vm)) ?? [];
            group.push(entry);
            groups.set(key(vm), group);
        }
    }
    return [...groups.values()];
};

/** Whether a policy without probes may use the VM: a quarantined VM takes a task only while it is idle. */
const isUsable = ({ condition, accelerators, freeAccelerators }: VmView): boolean =>
    condition === "ready" || (condition === "quarantined" && accelerators === freeAccelerators);

/** Free accelerators, processors and memory on the VMs that take work, grouped by adjacency. */
export class FreeSpace {
    private readonly free = new Map<string, FreeVm>();
    private readonly probes = new Set<string>();
    private readonly domains: Domains;

    constructor(vms: readonly VmView[]) {
        const usable = vms.filter(isUsable);
        for (const { vmId, condition, freeAccelerators, freeCores, freeMemoryMb } of usable) {
            this.free.set(vmId, { vmId, accelerators: freeAccelerators, cores: freeCores, memoryMb: freeMemoryMb });
            if (condition === "quarantined") {
                this.probes.add(vmId);
            }
        }
        this.domains = {
            vm: groupBy(usable, this.free, ({ vmId }) => vmId),
            rack: groupBy(usable, this.free, ({ rack }) => rack),
            dataCentre: groupBy(usable, this.free, ({ dataCentre }) => dataCentre),
            any: groupBy(usable, this.free, () => ""),
        };
    }

    /** Free accelerators in all. */
    total(): number {
        return [...this.free.values()].reduce((sum, { accelerators }) => sum + accelerators, 0);
    }

    /** The first VMs in one domain that have room for the gang and are not among those to avoid. */
    findMembers(shape: GangShape, avoid: readonly string[] = []): readonly GangMember[] | undefined {
        for (const domain of this.domains[shape.adjacency]) {
            const members: GangMember[] = [];
            for (const vm of domain) {
                if (membersOn(vm, shape) > 0 && !avoid.includes(vm.vmId)) {
                    members.push({ vmId: vm.vmId, accelerators: shape.acceleratorsPerVm });
                }
                if (members.length === shape.vms) {
                    return members;
                }
            }
        }
        return undefined;
    }

    /** Whether these members have room. */
    holds(members: readonly GangMember[], shape: GangShape): boolean {
        return members.every(({ vmId }) => {
            const vm = this.free.get(vmId);
            return vm !== undefined && membersOn(vm, shape) > 0;
        });
    }

    /** Number of gangs of this shape that could start side by side. */
    countGangs(shape: GangShape): number {
        return this.domains[shape.adjacency]
            .map(domain => countInDomain(domain.map(vm => membersOn(vm, shape)), shape.vms))
            .reduce((sum, count) => sum + count, 0);
    }

    /** Takes the room of these members. */
    take(members: readonly GangMember[], shape: GangShape): void {
        this.change(members, shape, -1);
        for (const { vmId } of members) {
            const vm = this.free.get(vmId);
            if (vm !== undefined && this.probes.has(vmId)) {
                vm.accelerators = 0;
            }
        }
    }

    /** Gives back the room of these members. */
    release(members: readonly GangMember[], shape: GangShape): void {
        this.change(members, shape, 1);
    }

    private change(members: readonly GangMember[], { coresPerVm, memoryMbPerVm }: GangShape, sign: 1 | -1): void {
        for (const { vmId, accelerators } of members) {
            const vm = this.free.get(vmId);
            if (vm !== undefined) {
                vm.accelerators += sign * accelerators;
                vm.cores += sign * coresPerVm;
                vm.memoryMb += sign * memoryMbPerVm;
            }
        }
    }
}

const quotient = (have: number, need: number): number => need === 0 ? Infinity : Math.floor(have / need);

/** Number of members of different gangs of this shape that fit on the VM. */
const membersOn = (vm: FreeVm, { acceleratorsPerVm, coresPerVm, memoryMbPerVm }: GangShape): number =>
    Math.min(
        quotient(vm.accelerators, acceleratorsPerVm),
        quotient(vm.cores, coresPerVm),
        quotient(vm.memoryMb, memoryMbPerVm),
    );

/** The largest number of gangs such that each has its members on different VMs. */
const countInDomain = (slots: readonly number[], vms: number): number => {
    const roomFor = (gangs: number) => slots.reduce((sum, slot) => sum + Math.min(slot, gangs), 0);
    let gangs = Math.floor(roomFor(Infinity) / vms);
    while (gangs > 0 && roomFor(gangs) < gangs * vms) {
        gangs -= 1;
    }
    return gangs;
};
