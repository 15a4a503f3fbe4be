import type { GangShape } from "@persimmonpitch/schema/gang.js";

/** Resources of one VM that are counted. */
export interface Amount {
    readonly accelerators: number;
    readonly cores: number;
    readonly memoryMb: number;
}

/** An amount that a pass keeps up to date in place. */
export interface MutableAmount {
    accelerators: number;
    cores: number;
    memoryMb: number;
}

/** Absorbs rounding errors of fractional cores and memory. */
export const TOLERANCE = 1e-6;

/** What one member of a gang needs on its VM. */
export const needOf = (gang: GangShape): Amount => ({
    accelerators: gang.acceleratorsPerVm,
    cores: gang.coresPerVm,
    memoryMb: gang.memoryMbPerVm,
});

/** An amount of nothing. */
export const noAmount = (): MutableAmount => ({ accelerators: 0, cores: 0, memoryMb: 0 });

/** Whether the available amount is at least the needed one in every resource. */
export const covers = (available: Amount, need: Amount): boolean =>
    available.accelerators >= need.accelerators
    && available.cores >= need.cores - TOLERANCE
    && available.memoryMb >= need.memoryMb - TOLERANCE;

/** Makes the target equal to the amount. */
export const setTo = (target: MutableAmount, { accelerators, cores, memoryMb }: Amount): void => {
    target.accelerators = accelerators;
    target.cores = cores;
    target.memoryMb = memoryMb;
};

/** Adds `factor` times the amount to the target. */
export const addTo = (target: MutableAmount, amount: Amount, factor = 1): void => {
    target.accelerators += factor * amount.accelerators;
    target.cores += factor * amount.cores;
    target.memoryMb += factor * amount.memoryMb;
};

/** The first amount less the second; resources may become negative. */
export const difference = (from: Amount, amount: Amount): MutableAmount => ({
    accelerators: from.accelerators - amount.accelerators,
    cores: from.cores - amount.cores,
    memoryMb: from.memoryMb - amount.memoryMb,
});

/** The smaller of two amounts in each resource, not below zero. */
export const commonPart = (left: Amount, right: Amount): MutableAmount => ({
    accelerators: Math.max(0, Math.min(left.accelerators, right.accelerators)),
    cores: Math.max(0, Math.min(left.cores, right.cores)),
    memoryMb: Math.max(0, Math.min(left.memoryMb, right.memoryMb)),
});

/** Whether some resource is above zero. */
export const isPositive = ({ accelerators, cores, memoryMb }: Amount): boolean =>
    accelerators > 0 || cores > TOLERANCE || memoryMb > TOLERANCE;
