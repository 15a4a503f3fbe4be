import type { Guarantee } from "@persimmonpitch/schema/configuration.js";
import type { Adjacency, GangShape } from "@persimmonpitch/schema/gang.js";
import type { GangMember, JobSpec } from "@persimmonpitch/schema/job.js";
import type { VmState } from "./clusterState.js";
import type { VmView } from "./clusterView.js";
import type { Resources } from "./resources.js";
import { covers, memberDemand } from "./resources.js";

/** A guaranteed instance that is bound to cells. */
export interface GuaranteedInstance {
    readonly guarantee: Guarantee;
    readonly instanceIndex: number;
    cells: readonly VmState[];
    /** The job that uses the instance or waits for its cells to be freed. */
    jobId: string | undefined;
}

/**
 * Resources that a guaranteed shape is entitled to on one VM. A shape without cores or memory is entitled to the share of
 * the VM that corresponds to its accelerators; otherwise jobs of the team that request cores could not use its cells.
 */
export const entitlementOn = (shape: GangShape, vm: VmView): Resources => {
    const share = vm.accelerators === 0 ? 0 : shape.acceleratorsPerVm / vm.accelerators;
    return {
        accelerators: shape.acceleratorsPerVm,
        cores: shape.coresPerVm > 0 ? shape.coresPerVm : vm.cores * share,
        memoryMb: shape.memoryMbPerVm > 0 ? shape.memoryMbPerVm : vm.memoryMb * share,
    };
};

type DomainKeyOf = (vm: VmView) => string;

const DOMAIN_KEYS: { readonly [K in Adjacency]: DomainKeyOf; } = {
    vm: ({ vmId }) => vmId,
    rack: ({ dataCentre, rack }) => `${dataCentre}/${rack}`,
    dataCentre: ({ dataCentre }) => dataCentre,
    any: () => "",
};

/** Rank of each adjacency, from the strictest. */
const ADJACENCY_RANK: Readonly<Record<Adjacency, number>> = { vm: 0, rack: 1, dataCentre: 2, any: 3 };

/** The stricter of two adjacencies. */
export const stricterAdjacency = (left: Adjacency, right: Adjacency): Adjacency =>
    ADJACENCY_RANK[left] <= ADJACENCY_RANK[right] ? left : right;

/** The first `count` items whose VMs are in one topology domain of the required adjacency. */
export const firstAdjacentGroup = <T>(
    items: readonly T[],
    vmOf: (item: T) => VmView,
    count: number,
    adjacency: Adjacency,
): readonly T[] | undefined => {
    const groups = new Map<string, T[]>();
    for (const item of items) {
        const domainKey = count === 1 ? "" : DOMAIN_KEYS[adjacency](vmOf(item));
        const group = groups.get(domainKey) ?? [];
        groups.set(domainKey, group);
        group.push(item);
        if (group.length === count) {
            return group;
        }
    }
    return undefined;
};

/** Whether all VMs are in one topology domain of the required adjacency. */
export const areAdjacent = (vms: readonly VmView[], adjacency: Adjacency): boolean =>
    firstAdjacentGroup(vms, vm => vm, vms.length, adjacency) !== undefined;

/** Accepted cells of an instance that can hold the whole gang of the job; undefined if there are too few. */
export const fittingCells = (
    { gang }: JobSpec,
    { guarantee, cells }: GuaranteedInstance,
    accepts: (vm: VmState) => boolean,
): readonly VmState[] | undefined => {
    if (gang.vms > cells.length) {
        return undefined;
    }
    const demand = memberDemand(gang);
    const fitting = cells.filter(cell => covers(entitlementOn(guarantee.shape, cell.vm), demand) && accepts(cell));
    return firstAdjacentGroup(fitting, ({ vm }) => vm, gang.vms, gang.adjacency);
};

/** The cells of an instance as members of a gang. */
export const cellMembers = ({ guarantee, cells }: GuaranteedInstance): readonly GangMember[] =>
    cells.map(({ vm }) => ({ vmId: vm.vmId, accelerators: guarantee.shape.acceleratorsPerVm }));
