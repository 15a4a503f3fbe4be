import type { Positioned, VisitCounter } from "./buckets.js";
import { BucketLinks, Buckets } from "./buckets.js";
import type { VmView } from "./clusterView.js";
import type { MutableResources, Resources } from "./resources.js";
import { addResources } from "./resources.js";

/** VMs of a topology domain, searchable by available accelerators. */
export interface ScannableNodes {
    /** Visits VMs with at least `minAccelerators` available until `visit` returns true. */
    scan(minAccelerators: number, visit: (node: VmNode) => boolean): void;
}

/** A rack, a data centre or the whole cluster, with its VMs and their accelerators. */
export interface TopologyDomain extends Positioned {
    readonly nodes: ScannableNodes;
    availableAccelerators: number;
    accelerators: number;
}

/** A VM and its available resources. `position` is its index in the list that the capacity index was built from. */
export interface VmNode extends Positioned {
    readonly vm: VmView;
    readonly available: MutableResources;
    readonly rack: TopologyDomain;
    readonly dataCentre: BucketedDomain;
    /** False for a VM that accepts no new jobs; such a VM is in no bucket. */
    readonly indexed: boolean;
}

/** VMs of a rack in the order of their positions; a rack has too few VMs for buckets to pay off. */
class RackNodes implements ScannableNodes {
    readonly #links: BucketLinks<VmNode>;
    #first = -1;
    #last = -1;

    constructor(links: BucketLinks<VmNode>) {
        this.#links = links;
    }

    insert({ position }: VmNode): void {
        const { next } = this.#links;
        next[position] = -1;
        if (this.#last === -1) {
            this.#first = position;
        }
        else {
            next[this.#last] = position;
        }
        this.#last = position;
    }

    scan(minAccelerators: number, visit: (node: VmNode) => boolean): void {
        const { items, next, counter } = this.#links;
        for (let at = this.#first; at !== -1; at = next[at] ?? -1) {
            counter.visits += 1;
            const node = items[at];
            if (node !== undefined && node.available.accelerators >= minAccelerators && visit(node)) {
                return;
            }
        }
    }
}

interface Rack extends TopologyDomain {
    readonly nodes: RackNodes;
}

interface BucketedDomain extends TopologyDomain {
    readonly nodes: Buckets<VmNode>;
}

interface DataCentre extends BucketedDomain {
    readonly racks: Map<string, Rack>;
}

const bucketKey = (accelerators: number): number => Math.max(0, accelerators);

/** Maps each VM to its rack and data centre, and creates these domains on first use. */
class TopologyBuilder {
    readonly racks: Rack[] = [];
    readonly dataCentres: DataCentre[] = [];
    readonly #byName = new Map<string, DataCentre>();
    // A VM belongs to one data centre and one rack, so all data centres can share one set of links, and so can all racks.
    readonly #dataCentreLinks: BucketLinks<VmNode>;
    readonly #rackLinks: BucketLinks<VmNode>;

    constructor(nodes: readonly VmNode[], maxNodes: number, counter: VisitCounter) {
        this.#dataCentreLinks = new BucketLinks(nodes, maxNodes, counter);
        this.#rackLinks = new BucketLinks(nodes, maxNodes, counter);
    }

    dataCentreOf({ dataCentre: name }: VmView): DataCentre {
        const known = this.#byName.get(name);
        if (known !== undefined) {
            return known;
        }
        const dataCentre: DataCentre = {
            position: this.dataCentres.length,
            nodes: new Buckets(this.#dataCentreLinks),
            racks: new Map(),
            availableAccelerators: 0,
            accelerators: 0,
        };
        this.#byName.set(name, dataCentre);
        this.dataCentres.push(dataCentre);
        return dataCentre;
    }

    rackOf({ rack: name }: VmView, { racks }: DataCentre): Rack {
        const known = racks.get(name);
        if (known !== undefined) {
            return known;
        }
        const rack: Rack = {
            position: this.racks.length,
            nodes: new RackNodes(this.#rackLinks),
            availableAccelerators: 0,
            accelerators: 0,
        };
        racks.set(name, rack);
        this.racks.push(rack);
        return rack;
    }
}

const addCapacity = (domain: TopologyDomain, available: number, accelerators: number): void => {
    domain.availableAccelerators += available;
    domain.accelerators += accelerators;
};

/** Index of VMs by available accelerators, for the cluster and for each data centre and rack. */
export class CapacityIndex implements VisitCounter {
    /** VMs and racks examined by gang searches and reservation plans. */
    visits = 0;
    readonly nodes: readonly VmNode[];
    readonly cluster: BucketedDomain;
    readonly dataCentres: readonly TopologyDomain[];
    readonly racksByAvailable: Buckets<TopologyDomain>;

    constructor(
        vms: readonly VmView[],
        availableOn: (vm: VmView, position: number) => MutableResources,
        acceptsJobs: (vm: VmView) => boolean,
    ) {
        const nodes: VmNode[] = [];
        this.nodes = nodes;
        this.cluster = {
            position: 0,
            nodes: new Buckets(new BucketLinks(nodes, vms.length, this)),
            availableAccelerators: 0,
            accelerators: 0,
        };
        const topology = new TopologyBuilder(nodes, vms.length, this);
        vms.forEach((vm, position) => {
            const dataCentre = topology.dataCentreOf(vm);
            const rack = topology.rackOf(vm, dataCentre);
            const available = availableOn(vm, position);
            const node: VmNode = { position, vm, available, rack, dataCentre, indexed: acceptsJobs(vm) };
            nodes.push(node);
            if (node.indexed) {
                this.#insert(node);
                rack.nodes.insert(node);
            }
        });
        this.dataCentres = topology.dataCentres;
        this.racksByAvailable = new Buckets(
            new BucketLinks<TopologyDomain>(topology.racks, topology.racks.length, this),
        );
        for (const rack of topology.racks) {
            this.racksByAvailable.add(bucketKey(rack.availableAccelerators), rack);
        }
    }

    /** Subtracts resources from those available on a VM. */
    allocate(node: VmNode, resources: Resources): void {
        const { available, rack, dataCentre, indexed } = node;
        const before = available.accelerators;
        addResources(available, resources, -1);
        const after = available.accelerators;
        if (!indexed || before === after) {
            return;
        }
        this.#move(this.cluster, node, before);
        this.#move(dataCentre, node, before);
        this.racksByAvailable.remove(bucketKey(rack.availableAccelerators), rack);
        rack.availableAccelerators += after - before;
        this.racksByAvailable.add(bucketKey(rack.availableAccelerators), rack);
    }

    #move(domain: BucketedDomain, node: VmNode, before: number): void {
        const after = node.available.accelerators;
        domain.nodes.remove(bucketKey(before), node);
        domain.nodes.add(bucketKey(after), node);
        domain.availableAccelerators += after - before;
    }

    #insert(node: VmNode): void {
        const { available: { accelerators: available }, vm: { accelerators }, rack, dataCentre } = node;
        const key = bucketKey(available);
        this.cluster.nodes.add(key, node);
        dataCentre.nodes.add(key, node);
        addCapacity(this.cluster, available, accelerators);
        addCapacity(dataCentre, available, accelerators);
        addCapacity(rack, available, accelerators);
    }
}
