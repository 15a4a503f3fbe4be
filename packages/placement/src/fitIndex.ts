import type { Amount, MutableAmount } from "./amount.js";
import { addTo } from "./amount.js";
import { Buckets } from "./buckets.js";
import type { VmView } from "./clusterView.js";

/** VMs of a domain that can be searched by available accelerators. */
export interface NodeSource {
    add(accelerators: number, node: FitNode): void;
    remove(accelerators: number, node: FitNode): void;
    /** Visits VMs with at least the given accelerators until a visit returns true. */
    scan(from: number, visit: (node: FitNode) => boolean): void;
}

/** A rack, a data centre or the whole cluster, with its VMs ordered by available accelerators. */
export interface FitDomain {
    readonly nodes: NodeSource;
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

/** VMs of a rack. There are few, so a list is cheaper to make than buckets. */
class NodeList implements NodeSource {
    readonly #nodes: FitNode[] = [];

    add(_accelerators: number, node: FitNode): void {
        if (!this.#nodes.includes(node)) {
            this.#nodes.push(node);
        }
    }

    remove(): void {
        // The list does not depend on what is available.
    }

    scan(from: number, visit: (node: FitNode) => boolean): void {
        for (const node of this.#nodes) {
            if (node.available.accelerators >= from && visit(node)) {
                return;
            }
        }
    }
}

const newDomain = (nodes: NodeSource): FitDomain => ({ nodes, availableAccelerators: 0, accelerators: 0 });

const domainOf = (domains: Map<string, FitDomain>, name: string, newNodes: () => NodeSource): FitDomain => {
    const known = domains.get(name);
    if (known !== undefined) {
        return known;
    }
    const domain = newDomain(newNodes());
    domains.set(name, domain);
    return domain;
};

const bucketKey = (accelerators: number): number => Math.max(0, accelerators);

/** VMs ordered by available accelerators in the cluster and in each data centre and rack. */
export class FitIndex {
    readonly nodes: readonly FitNode[];
    readonly cluster = newDomain(new Buckets());
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
            rack: domainOf(this.racks, `${vm.dataCentre}/${vm.rack}`, () => new NodeList()),
            dataCentre: domainOf(this.dataCentres, vm.dataCentre, () => new Buckets()),
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
