import type { Place } from "@persimmonpitch/findings/finding.js";
import type { InventoryVm } from "@persimmonpitch/schema/configuration.js";

/** The VMs of an asset register, with the line of each. */
export interface AssetRegister {
    readonly vms: readonly InventoryVm[];
    readonly places: readonly Place[];
}
