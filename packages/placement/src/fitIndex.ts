import type { Amount, MutableAmount } from "./amount.js";
import { addTo } from "./amount.js";
import { Buckets } from "./buckets.js";
import type { VmView } from "./clusterView.js";

/** A rack, a data centre or the whole cluster, with its VMs ordered by available accelerators. */
export interface FitDomain {
    readonly nodes: Buckets<FitNode>;
    availableAccelerators: number;
    accelerators: number;
}

/** A VM with what is available on it. */
export interface FitNode {
    /** Position of the VM in the list that the index was made from. */
    readonly position: number;
    readonly vm: VmView;
    readonly available: MutableAmount;
    readonly rack: FitDomain;
    readonly dataCentre: FitDomain;
    /** False for a VM that takes nothing new; it is then in no bucket. */
    readonly indexed: boolean;
}

const newDomain = (): FitDomain => ({ nodes: new Buckets(), availableAccelerators: 0, accelerators: 0 });

const domainOf = (domains: Map<string, FitDomain>, name: string): FitDomain => {
    const known = domains.get(name);
    if (known !== undefined) {
        return known;
    }
    const domain = newDomain();
    domains.set(name, domain);
    return domain;
};

const bucketKey = (accelerators: number): number => Math.max(0, accelerators);

/** VMs ordered by available accelerators in the cluster and in each data centre and rack. */
export class FitIndex {
    readonly nodes: readonly FitNode[];
    readonly cluster = newDomain();
    readonly dataCentres = new Map<string, FitDomain>();
    readonly racks = new Map<string, FitDomain>();
    readonly racksByAvailable = new Buckets<FitDomain>();

    constructor(
        vms: readonly VmView[],
        availableOn: (vm: VmView, position: number) => MutableAmount,
        takesNewWork: (vm: VmView) => boolean,
    ) {
        this.nodes = vms.map((vm, position): FitNode => ({
            position,
            vm,
            available: availableOn(vm, position),
            rack: domainOf(this.racks, `${vm.dataCentre}/${vm.rack}`),
            dataCentre: domainOf(this.dataCentres, vm.dataCentre),
            indexed: takesNewWork(vm),
        }));
        for (const node of this.nodes) {
            this.#insert(node);
        }
        for (const rack of this.racks.values()) {
            this.racksByAvailable.add(bucketKey(rack.availableAccelerators), rack);
        }
    }

    /** Takes an amount from a VM. */
    take(node: FitNode, amount: Amount): void {
        const before = node.available.accelerators;
        addTo(node.available, amount, -1);
        const after = node.available.accelerators;
        if (!node.indexed || before === after) {
            return;
        }
        for (const domain of [this.cluster, node.dataCentre, node.rack]) {
            domain.nodes.remove(bucketKey(before), node);
            domain.nodes.add(bucketKey(after), node);
        }
        this.racksByAvailable.remove(bucketKey(node.rack.availableAccelerators), node.rack);
        for (const domain of [this.cluster, node.dataCentre, node.rack]) {
            domain.availableAccelerators += after - before;
        }
        this.racksByAvailable.add(bucketKey(node.rack.availableAccelerators), node.rack);
    }

    #insert(node: FitNode): void {
        if (!node.indexed) {
            return;
        }
        for (const domain of [this.cluster, node.dataCentre, node.rack]) {
            domain.nodes.add(bucketKey(node.available.accelerators), node);
            domain.availableAccelerators += node.available.accelerators;
            domain.accelerators += node.vm.accelerators;
        }
    }
}
