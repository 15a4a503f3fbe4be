import type { Demand, Step } from "@persimmonpitch/workload/step.js";

/** Amounts of resources that a pass updates in place. */
export interface MutableDemand {
    milliCores: number;
    memoryMb: number;
    accelerators: number;
}

/** Number of cores that an accelerator counts as in core-seconds of work. */
const CORES_PER_ACCELERATOR = 8;

/** Upper bound of the slots of an executor, for tasks that demand nothing. */
const MAX_SLOTS = 1_000;

/** Zero of each resource. */
export const noDemand = (): MutableDemand => ({ milliCores: 0, memoryMb: 0, accelerators: 0 });

/** Resources that a task of the step takes from its executor. Idle cores are not taken from anyone. */
export const countedDemand = ({ demand, usesIdleCores }: Step): Demand =>
    usesIdleCores ? { ...demand, milliCores: 0 } : demand;

/** Adds `factor` times the demand to the target. */
export const addTo = (target: MutableDemand, demand: Demand, factor = 1): void => {
    target.milliCores += factor * demand.milliCores;
    target.memoryMb += factor * demand.memoryMb;
    target.accelerators += factor * demand.accelerators;
};

/** Number of tasks with the demand that fit into the available resources. */
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

/** Number of cores that a task counts as in core-seconds of work. */
export const coreEquivalent = ({ accelerators, milliCores }: Demand): number =>
    CORES_PER_ACCELERATOR * accelerators + milliCores / 1_000;
