import type { GangShape } from "@persimmonpitch/schema/gang.js";

/** A quantity of the resources that a VM offers or a gang member requests. */
export interface Resources {
    readonly accelerators: number;
    readonly cores: number;
    readonly memoryMb: number;
}

/** Resources that are updated in place during a pass. */
export interface MutableResources {
    accelerators: number;
    cores: number;
    memoryMb: number;
}

/** Absorbs rounding errors of fractional cores and memory. */
export const ROUNDING_TOLERANCE = 1e-6;

/** Resources that each member of a gang requests on its VM. */
export const memberDemand = (gang: GangShape): Resources => ({
    accelerators: gang.acceleratorsPerVm,
    cores: gang.coresPerVm,
    memoryMb: gang.memoryMbPerVm,
});

export const zeroResources = (): MutableResources => ({ accelerators: 0, cores: 0, memoryMb: 0 });

/** Whether the available resources satisfy the demand in every dimension. */
export const covers = (available: Resources, demand: Resources): boolean =>
    available.accelerators >= demand.accelerators
    && available.cores >= demand.cores - ROUNDING_TOLERANCE
    && available.memoryMb >= demand.memoryMb - ROUNDING_TOLERANCE;

/** Overwrites the target with the given resources. */
export const assignResources = (target: MutableResources, { accelerators, cores, memoryMb }: Resources): void => {
    target.accelerators = accelerators;
    target.cores = cores;
    target.memoryMb = memoryMb;
};

/** Adds `factor` times the resources to the target. */
export const addResources = (target: MutableResources, resources: Resources, factor = 1): void => {
    target.accelerators += factor * resources.accelerators;
    target.cores += factor * resources.cores;
    target.memoryMb += factor * resources.memoryMb;
};

/** Subtracts the second operand from the first; the result may be negative in any dimension. */
export const subtractResources = (from: Resources, resources: Resources): MutableResources => ({
    accelerators: from.accelerators - resources.accelerators,
    cores: from.cores - resources.cores,
    memoryMb: from.memoryMb - resources.memoryMb,
});

/** Minimum of two quantities in each dimension, at least zero. */
export const minResources = (left: Resources, right: Resources): MutableResources => ({
    accelerators: Math.max(0, Math.min(left.accelerators, right.accelerators)),
    cores: Math.max(0, Math.min(left.cores, right.cores)),
    memoryMb: Math.max(0, Math.min(left.memoryMb, right.memoryMb)),
});

/** Whether any dimension is above zero. */
export const isAnyPositive = ({ accelerators, cores, memoryMb }: Resources): boolean =>
    accelerators > 0 || cores > ROUNDING_TOLERANCE || memoryMb > ROUNDING_TOLERANCE;
