import type { Guarantee, InventoryVm } from "@persimmonpitch/schema/configuration.js";
import type { VmView } from "./clusterView.js";
import { bindInstances, bindRequests } from "./guaranteeBinder.js";
import type { UnmetGuarantee } from "./placementDecisions.js";

const emptyVmView = ({ id, rack, dataCentre, accelerators, cores, memoryMb }: InventoryVm): VmView => ({
    vmId: id,
    rack,
    dataCentre,
    condition: "ready",
    accelerators,
    freeAccelerators: accelerators,
    cores,
    freeCores: cores,
    memoryMb,
    freeMemoryMb: memoryMb,
});

/** Finds the guaranteed instances that the worker VMs of an inventory cannot hold even if all of them are empty. */
export const checkGuarantees = (
    vms: readonly InventoryVm[],
    guarantees: readonly Guarantee[],
): readonly UnmetGuarantee[] => {
    const workers = vms.filter(({ kind }) => kind === "worker").map(emptyVmView);
    const bindableOn = ({ accelerators, cores, memoryMb }: VmView) => ({ accelerators, cores, memoryMb });
    return bindInstances({ vms: workers, bindableOn }, bindRequests(guarantees, () => undefined, () => false))
        .filter(({ isMet }) => !isMet)
        .map(({ request: { guarantee, instance } }) => ({ team: guarantee.team, name: guarantee.name, instance }));
};
