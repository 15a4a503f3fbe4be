import type { Guarantee, InventoryVm } from "@persimmonpitch/schema/configuration.js";

/** One instance of a guarantee that fits nowhere beside the others. */
export interface UnboundInstance {
    readonly team: string;
    readonly name: string;
    /** Position among the instances of the guarantee, from 0. */
    readonly instance: number;
}

/**
 * Binds every guaranteed instance to accelerators and names those that find none. It is a parameter of the checks
 * because the binding belongs to placement, and both must judge a guarantee by the same rule.
 */
export type CheckGuarantees = (
    vms: readonly InventoryVm[],
    guarantees: readonly Guarantee[],
) => readonly UnboundInstance[];
