import * as B from "fp-ts/lib/boolean.js";
import { pipe } from "fp-ts/lib/function.js";
import * as M from "fp-ts/lib/Monoid.js";
import * as N from "fp-ts/lib/number.js";
import * as Ord from "fp-ts/lib/Ord.js";
import type { PlacedJobState, VmState } from "./clusterState.js";
import { gangAccelerators } from "./jobTraits.js";
import type { MutableResources, Resources } from "./resources.js";
import { addResources, isAnyPositive, subtractResources } from "./resources.js";

/** Request for jobs to preempt so that another job fits. */
export interface VictimRequest {
    /** VMs selected for the waiting job, each of which must offer the demand of one member. */
    readonly vms: readonly VmState[];
    readonly demand: Resources;
    readonly isCandidate: (placed: PlacedJobState) => boolean;
    readonly leastWorkLost: boolean;
}

const checkpointableFirst: Ord.Ord<PlacedJobState> = pipe(
    B.Ord,
    Ord.reverse,
    Ord.contramap(({ job }: PlacedJobState) => job.spec.checkpointable),
);

const youngestFirst: Ord.Ord<PlacedJobState> = pipe(
    N.Ord,
    Ord.reverse,
    Ord.contramap(({ job }: PlacedJobState) => job.startedAt),
);

const smallestFirst: Ord.Ord<PlacedJobState> = pipe(
    N.Ord,
    Ord.contramap(({ job }: PlacedJobState) => gangAccelerators(job.spec.gang)),
);

const leastWorkLostFirst = M.concatAll(Ord.getMonoid<PlacedJobState>())([
    checkpointableFirst,
    youngestFirst,
    smallestFirst,
]);

const oldestFirst = pipe(youngestFirst, Ord.reverse);

/** Work that the preemption of the job would lose, in accelerator milliseconds. */
export const workLost = ({ job: { spec, startedAt } }: PlacedJobState, now: number): number =>
    spec.checkpointable ? 0 : Math.max(0, now - startedAt) * Math.max(1, gangAccelerators(spec.gang));

/** Whether the job is preemptible, uses no guaranteed instance and is not stopping already. */
export const canBePreempted = ({ preemptible, usesGuarantee, stopping }: PlacedJobState): boolean =>
    preemptible && !usesGuarantee && !stopping;

/** Demand on each VM that free and releasing resources do not cover. */
class Shortfall {
    readonly #missing = new Map<VmState, MutableResources>();

    constructor({ vms, demand }: VictimRequest) {
        for (const vm of vms) {
            const missing = subtractResources(demand, vm.node.available);
            addResources(missing, vm.releasing, -1);
            this.#missing.set(vm, missing);
        }
    }

    exists(): boolean {
        return [...this.#missing.values()].some(isAnyPositive);
    }

    isReducedBy({ allocations }: PlacedJobState): boolean {
        return allocations.some(({ vm, resources }) => {
            const missing = this.#missing.get(vm);
            return missing !== undefined
                && ((missing.accelerators > 0 && resources.accelerators > 0)
                    || (missing.cores > 0 && resources.cores > 0)
                    || (missing.memoryMb > 0 && resources.memoryMb > 0));
        });
    }

    applyRelease({ allocations }: PlacedJobState, factor: 1 | -1): void {
        for (const { vm, resources } of allocations) {
            const missing = this.#missing.get(vm);
            if (missing !== undefined) {
                addResources(missing, resources, -factor);
            }
        }
    }
}

/** Selects jobs to preempt so that every VM offers the demand; undefined if the candidates do not suffice. */
export const selectVictims = (request: VictimRequest): readonly PlacedJobState[] | undefined => {
    const shortfall = new Shortfall(request);
    if (!shortfall.exists()) {
        return [];
    }
    const candidates = [...new Set(request.vms.flatMap(({ placed }) => placed))].filter(request.isCandidate)
        .sort((request.leastWorkLost ? leastWorkLostFirst : oldestFirst).compare);
    const chosen: PlacedJobState[] = [];
    for (const candidate of candidates) {
        if (shortfall.isReducedBy(candidate)) {
            shortfall.applyRelease(candidate, 1);
            chosen.push(candidate);
        }
    }
    if (shortfall.exists()) {
        return undefined;
    }
    // A later victim may free enough to make an earlier one unnecessary. Reverse order spares the costliest victims first.
    const necessary = new Set(chosen);
    for (const victim of chosen.reverse()) {
        shortfall.applyRelease(victim, -1);
        if (shortfall.exists()) {
            shortfall.applyRelease(victim, 1);
        }
        else {
            necessary.delete(victim);
        }
    }
    return [...necessary];
};
