import type { VmView } from "@persimmonpitch/placement/clusterView.js";
import type { GangShape } from "@persimmonpitch/schema/gang.js";
import { FreeSpace } from "./freeSpace.js";

/** A shape that is wanted, and how many gangs of it. */
export interface WantedShape {
    readonly shape: GangShape;
    readonly gangs: number;
}

/** Free accelerators at one moment. */
export interface FreeSample {
    readonly free: number;
    /** Free accelerators that cannot serve the wanted shapes; the mean over the shapes, by accelerators asked for. */
    readonly unusable: number;
    /** The part of `unusable` that would be usable if all free accelerators were adjacent. */
    readonly scattered: number;
}

/** Measures the free accelerators against the wanted shapes; docs/measures.md has the definition. */
export const sampleFragmentation = (vms: readonly VmView[], wanted: readonly WantedShape[]): FreeSample => {
    const space = new FreeSpace(vms);
    const free = space.total();
    if (free === 0 || wanted.length === 0) {
        return { free, unusable: 0, scattered: 0 };
    }
    let weights = 0;
    let unusable = 0;
    let scattered = 0;
    for (const { shape, gangs } of wanted) {
        const size = shape.vms * shape.acceleratorsPerVm;
        const weight = size * gangs;
        weights += weight;
        const usable = size * space.countGangs(shape);
        unusable += weight * (free - usable);
        scattered += weight * (size * Math.floor(free / size) - usable);
    }
    return weights === 0
        ? { free, unusable: 0, scattered: 0 }
        : { free, unusable: unusable / weights, scattered: scattered / weights };
};
