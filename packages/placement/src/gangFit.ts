import type { Adjacency } from "@persimmonpitch/schema/gang.js";
import type { CapacityIndex, TopologyDomain, VmNode } from "./capacityIndex.js";
import type { Resources } from "./resources.js";
import { covers } from "./resources.js";

/** Demand of a gang, the VMs that it accepts and the cost of using each. */
export interface GangFitRequest {
    readonly vms: number;
    readonly demand: Resources;
    readonly adjacency: Adjacency;
    readonly accepts: (node: VmNode) => boolean;
    readonly cost: (node: VmNode) => number;
    /** Compares every accepted VM instead of the first ones in index order. */
    readonly exhaustive?: boolean;
}

interface Candidate {
    readonly node: VmNode;
    readonly cost: number;
}

interface VmSelection {
    readonly nodes: readonly VmNode[];
    readonly cost: number;
}

/** Candidates compared beyond the size of the gang; bounds the cost of a search on a large cluster. */
const EXTRA_CANDIDATES = 16;

/** Feasible racks compared before the cheapest is selected. */
const MAX_FEASIBLE_RACKS = 8;

const byCost = (left: Candidate, right: Candidate): number => left.cost - right.cost;

/** Accepted VMs of a domain in index order, up to the number that is compared. */
const acceptedNodes = (
    domain: TopologyDomain,
    { vms, demand, accepts, exhaustive }: GangFitRequest,
): readonly VmNode[] => {
    const maxNodes = exhaustive === true ? Infinity : vms + EXTRA_CANDIDATES;
    const accepted: VmNode[] = [];
    domain.nodes.scan(demand.accelerators, node => {
        if (covers(node.available, demand) && accepts(node)) {
            accepted.push(node);
        }
        return accepted.length >= maxNodes;
    });
    return accepted;
};

/** Selects the VM of lowest cost; ties go to the first. */
const cheapestNode = (nodes: readonly VmNode[], costOf: (node: VmNode) => number): VmSelection | undefined => {
    let cheapestSoFar: VmNode | undefined;
    let lowestCost = 0;
    for (const node of nodes) {
        const cost = costOf(node);
        if (cheapestSoFar === undefined || cost < lowestCost) {
            cheapestSoFar = node;
            lowestCost = cost;
        }
    }
    return cheapestSoFar === undefined ? undefined : { nodes: [cheapestSoFar], cost: lowestCost };
};

const selectInDomain = (domain: TopologyDomain, request: GangFitRequest): VmSelection | undefined => {
    const { vms, demand, cost } = request;
    if (domain.availableAccelerators < vms * demand.accelerators) {
        return undefined;
    }
    const accepted = acceptedNodes(domain, request);
    if (accepted.length < vms) {
        return undefined;
    }
    if (vms === 1) {
        return cheapestNode(accepted, cost);
    }
    const selected = accepted.map((node): Candidate => ({ node, cost: cost(node) })).sort(byCost).slice(0, vms);
    return {
        nodes: selected.map(({ node }) => node),
        cost: selected.reduce((sum, candidate) => sum + candidate.cost, 0),
    };
};

const cheaper = (left: VmSelection | undefined, right: VmSelection | undefined): VmSelection | undefined =>
    left === undefined || (right !== undefined && right.cost < left.cost) ? right : left;

const selectInDataCentre = (index: CapacityIndex, request: GangFitRequest): VmSelection | undefined =>
    index.dataCentres
        .map(domain => selectInDomain(domain, request))
        .reduce(cheaper, undefined);

const selectInRack = (index: CapacityIndex, request: GangFitRequest): VmSelection | undefined => {
    let best: VmSelection | undefined;
    let feasible = 0;
    index.racksByAvailable.scan(request.vms * request.demand.accelerators, rack => {
        const selection = selectInDomain(rack, request);
        best = cheaper(best, selection);
        feasible += selection === undefined ? 0 : 1;
        return feasible >= MAX_FEASIBLE_RACKS;
    });
    return best;
};

type VmSelector = (index: CapacityIndex, request: GangFitRequest) => VmSelection | undefined;

const SELECTORS: { readonly [K in Adjacency]: VmSelector; } = {
    // Each member runs on a separate VM, so a gang of several members cannot satisfy adjacency `vm`.
    vm: () => undefined,
    rack: selectInRack,
    dataCentre: selectInDataCentre,
    any: (index, request) => selectInDomain(index.cluster, request),
};

/** Finds VMs for all members of a gang; undefined if the gang does not fit as a whole. */
export const fitGang = (index: CapacityIndex, request: GangFitRequest): readonly VmNode[] | undefined => {
    const adjacency = request.vms === 1 ? "any" : request.adjacency;
    return SELECTORS[adjacency](index, request)?.nodes;
};
