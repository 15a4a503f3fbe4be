import type { Guarantee, InventoryVm } from "@persimmonpitch/schema/configuration.js";
import type { Adjacency } from "@persimmonpitch/schema/gang.js";

/** The largest number of VMs within one group that can each hold a member of the shape. */
export interface ShapeFit {
    readonly fittingVms: number;
    /** VMs that have the cores and the memory, but no accelerator. */
    readonly withoutAccelerators: readonly string[];
}

/** The group that members of a gang must share, for each adjacency. */
const groupOf: { readonly [A in Adjacency]: (vm: InventoryVm) => string; } = {
    vm: ({ id }) => id,
    rack: ({ dataCentre, rack }) => `${dataCentre}/${rack}`,
    dataCentre: ({ dataCentre }) => dataCentre,
    any: () => "",
};

const isInReach = (vm: InventoryVm, { dataCentres }: Guarantee): boolean =>
    vm.kind === "worker" && (dataCentres?.includes(vm.dataCentre) ?? true);

const hasRoom = (vm: InventoryVm, { shape }: Guarantee): boolean =>
    vm.cores >= shape.coresPerVm && vm.memoryMb >= shape.memoryMbPerVm;

/** Measures how much of one instance fits into an inventory that holds nothing else. */
export const fitShape = (vms: readonly InventoryVm[], guarantee: Guarantee): ShapeFit => {
    const { acceleratorsPerVm, adjacency } = guarantee.shape;
    const roomy = vms.filter(vm => isInReach(vm, guarantee) && hasRoom(vm, guarantee));
    const counts = new Map<string, number>();
    for (const vm of roomy.filter(({ accelerators }) => accelerators >= acceleratorsPerVm)) {
        const group = groupOf[adjacency](vm);
        counts.set(group, (counts.get(group) ?? 0) + 1);
    }
    const withoutAccelerators = acceleratorsPerVm === 0 ? [] : roomy.filter(({ accelerators }) => accelerators === 0);
    return {
        fittingVms: Math.max(0, ...counts.values()),
        withoutAccelerators: withoutAccelerators.map(({ id }) => id),
    };
};
