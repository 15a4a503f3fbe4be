import type { Demand, Step } from "@persimmonpitch/workload/step.js";

/** A demand that a pass keeps up to date in place. */
export interface MutableDemand {
    milliCores: number;
    memoryMb: number;
    accelerators: number;
}

/** How many cores an accelerator counts as when work is valued. */
const CORES_PER_ACCELERATOR = 8;

/** Tasks that demand nothing are limited by this number on one executor. */
const MAX_SLOTS = 1_000;

/** A demand for nothing. */
export const noDemand = (): MutableDemand => ({ milliCores: 0, memoryMb: 0, accelerators: 0 });

/** What a task of the step takes of the capacity of its executor. */
export const countedDemand = ({ demand, usesIdleCores }: Step): Demand =>
    usesIdleCores ? { ...demand, milliCores: 0 } : demand;

/** Adds `factor` times the demand to the target. */
export const addTo = (target: MutableDemand, demand: Demand, factor = 1): void => {
    target.milliCores += factor * demand.milliCores;
    target.memoryMb += factor * demand.memoryMb;
    target.accelerators += factor * demand.accelerators;
};

/** How many tasks of the demand fit; a resource that the task does not need is never short. */
export const slotsIn = (available: Demand, demand: Demand): number => {
    let slots = MAX_SLOTS;
    if (demand.accelerators > 0) {
        slots = Math.min(slots, Math.floor(available.accelerators / demand.accelerators));
    }
    if (demand.milliCores > 0) {
        slots = Math.min(slots, Math.floor(available.milliCores / demand.milliCores));
    }
    if (demand.memoryMb > 0) {
        slots = Math.min(slots, Math.floor(available.memoryMb / demand.memoryMb));
    }
    return Math.max(0, slots);
};

/** Cores that the work of a task counts as. */
export const coresOf = ({ accelerators, milliCores }: Demand): number =>
    CORES_PER_ACCELERATOR * accelerators + milliCores / 1_000;
