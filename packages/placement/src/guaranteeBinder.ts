import type { Guarantee } from "@persimmonpitch/schema/configuration.js";
import * as B from "fp-ts/lib/boolean.js";
import { pipe } from "fp-ts/lib/function.js";
import * as M from "fp-ts/lib/Monoid.js";
import * as N from "fp-ts/lib/number.js";
import * as Ord from "fp-ts/lib/Ord.js";
import { CapacityIndex } from "./capacityIndex.js";
import { isReady } from "./clusterState.js";
import type { GuaranteeBinding, VmView } from "./clusterView.js";
import { fitGang } from "./gangFit.js";
import { areAdjacent, entitlementOn } from "./guaranteedInstance.js";
import { gangAccelerators } from "./jobTraits.js";
import type { MutableResources } from "./resources.js";
import { addResources, covers, memberDemand, zeroResources } from "./resources.js";

/** A guaranteed instance to bind. */
export interface BindRequest {
    readonly guarantee: Guarantee;
    readonly instance: number;
    /** Binding of the last pass, kept if it still fits. */
    readonly previous: GuaranteeBinding | undefined;
    /** A job of the owning team runs in the bound cells, so they cannot move. */
    readonly isInUse: boolean;
}

/** Outcome of binding one instance; `positions` is undefined if it fits nowhere. */
export interface BindResult {
    readonly request: BindRequest;
    readonly positions: readonly number[] | undefined;
    /** The instance is in use, or all its cells are on VMs that accept jobs, so it can be reclaimed now. */
    readonly isMet: boolean;
    /** The cells are those of the previous binding. */
    readonly isKept: boolean;
}

/** VMs to bind to, with the capacity that guarantees may use on each. */
export interface BindableVms {
    readonly vms: readonly VmView[];
    readonly bindableOn: (vm: VmView, position: number) => MutableResources;
}

interface BindingStrategy {
    readonly keepPrevious: boolean;
    readonly order: Ord.Ord<BindRequest>;
}

const inUseFirst: Ord.Ord<BindRequest> = pipe(B.Ord, Ord.reverse, Ord.contramap(({ isInUse }: BindRequest) => isInUse));

const boundFirst: Ord.Ord<BindRequest> = pipe(
    B.Ord,
    Ord.reverse,
    Ord.contramap(({ previous }: BindRequest) => previous !== undefined),
);

const largestFirst: Ord.Ord<BindRequest> = pipe(
    N.Ord,
    Ord.reverse,
    Ord.contramap(({ guarantee }: BindRequest) => gangAccelerators(guarantee.shape)),
);

const mostPerVmFirst: Ord.Ord<BindRequest> = pipe(
    N.Ord,
    Ord.reverse,
    Ord.contramap(({ guarantee }: BindRequest) => guarantee.shape.acceleratorsPerVm),
);

const lexicographic = (...orders: readonly Ord.Ord<BindRequest>[]): Ord.Ord<BindRequest> =>
    M.concatAll(Ord.getMonoid<BindRequest>())(orders);

/** Ordered from the fewest moved cells to the best packing; the first strategy that meets every request is used. */
const BINDING_STRATEGIES: readonly BindingStrategy[] = [
    { keepPrevious: true, order: lexicographic(inUseFirst, boundFirst, largestFirst, mostPerVmFirst) },
    { keepPrevious: true, order: lexicographic(inUseFirst, largestFirst, mostPerVmFirst) },
    { keepPrevious: false, order: lexicographic(inUseFirst, largestFirst, mostPerVmFirst) },
];

/** Whether idle cells stay on a VM of each condition; otherwise they move if other cells are available. */
const KEEPS_IDLE_CELLS_ON: Readonly<Record<VmView["condition"], boolean>> = {
    ready: true,
    draining: false,
    quarantined: false,
    unknown: false,
};

const isAllowedDataCentre = ({ dataCentres }: Guarantee, { dataCentre }: VmView): boolean =>
    dataCentres === undefined || dataCentres.includes(dataCentre);

const matchesShape = ({ shape }: Guarantee, { cells }: GuaranteeBinding): boolean =>
    cells.length === shape.vms && cells.every(({ accelerators }) => accelerators === shape.acceleratorsPerVm);

/** A VM with the capacity that remains for guarantees. */
interface BindCell {
    readonly position: number;
    readonly vm: VmView;
    readonly available: MutableResources;
}

const previousCells = (
    { guarantee, previous }: BindRequest,
    cellsById: ReadonlyMap<string, BindCell>,
): readonly BindCell[] | undefined => {
    if (previous === undefined || !matchesShape(guarantee, previous)) {
        return undefined;
    }
    const cells: BindCell[] = [];
    for (const { vmId } of previous.cells) {
        const cell = cellsById.get(vmId);
        if (cell === undefined || cells.includes(cell) || !isAllowedDataCentre(guarantee, cell.vm)) {
            return undefined;
        }
        cells.push(cell);
    }
    return areAdjacent(cells.map(({ vm }) => vm), guarantee.shape.adjacency) ? cells : undefined;
};

/** Binds requests in sequence; each reduces the capacity that remains for those after it. */
class Binder {
    readonly #vms: readonly VmView[];
    readonly #cells: readonly BindCell[];
    readonly #cellsById: ReadonlyMap<string, BindCell>;
    /** Built when the first instance needs new cells; most passes keep all cells and never need it. */
    #index: CapacityIndex | undefined;

    constructor({ vms, bindableOn }: BindableVms) {
        this.#vms = vms;
        this.#cells = vms.map((vm, position) => ({ position, vm, available: bindableOn(vm, position) }));
        this.#cellsById = new Map(this.#cells.map(cell => [cell.vm.vmId, cell]));
    }

    bind(requests: readonly BindRequest[], keepPrevious: boolean): readonly BindResult[] {
        return requests.map(request => {
            const keptCells = this.#keptCells(request, keepPrevious);
            const cells = keptCells ?? this.#newCells(request) ?? this.#previousCellsOnAnyVm(request);
            this.#allocate(request, cells ?? []);
            return {
                request,
                positions: cells?.map(({ position }) => position),
                isMet: cells !== undefined && (request.isInUse || cells.every(({ vm }) => isReady(vm))),
                isKept: keptCells !== undefined,
            };
        });
    }

    #keptCells(request: BindRequest, keepPrevious: boolean): readonly BindCell[] | undefined {
        if (!keepPrevious && !request.isInUse) {
            return undefined;
        }
        const cells = previousCells(request, this.#cellsById);
        const canKeep = cells?.every(({ vm }) => request.isInUse || KEEPS_IDLE_CELLS_ON[vm.condition]);
        return canKeep === true ? this.#cellsIfTheyFit(request, cells) : undefined;
    }

    /** Fallback if no other cells fit: keeps cells on VMs that accept no jobs, because the VMs may recover. */
    #previousCellsOnAnyVm(request: BindRequest): readonly BindCell[] | undefined {
        return this.#cellsIfTheyFit(request, previousCells(request, this.#cellsById));
    }

    #cellsIfTheyFit(
        { guarantee }: BindRequest,
        cells: readonly BindCell[] | undefined,
    ): readonly BindCell[] | undefined {
        const fits = cells?.every(({ available, vm }) => covers(available, entitlementOn(guarantee.shape, vm)));
        return fits === true ? cells : undefined;
    }

    #newCells({ guarantee }: BindRequest): readonly BindCell[] | undefined {
        const { shape } = guarantee;
        this.#index ??= new CapacityIndex(
            this.#vms,
            (_, position) => this.#cells[position]?.available ?? zeroResources(),
            isReady,
        );
        return fitGang(this.#index, {
            vms: shape.vms,
            demand: memberDemand(shape),
            adjacency: shape.adjacency,
            accepts: node =>
                isAllowedDataCentre(guarantee, node.vm) && covers(node.available, entitlementOn(shape, node.vm)),
            cost: ({ available, rack }) =>
                available.accelerators + rack.availableAccelerators / (1 + rack.accelerators),
        });
    }

    #allocate({ guarantee }: BindRequest, cells: readonly BindCell[]): void {
        for (const { position, vm, available } of cells) {
            const entitlement = entitlementOn(guarantee.shape, vm);
            const node = this.#index?.nodes[position];
            // The index shares the `available` objects of the cells, so each is reduced only once.
            if (this.#index === undefined || node === undefined) {
                addResources(available, entitlement, -1);
            }
            else {
                this.#index.allocate(node, entitlement);
            }
        }
    }
}

const unmetCount = (results: readonly BindResult[]): number =>
    results.reduce((count, { isMet }) => count + (isMet ? 0 : 1), 0);

/**
 * Binds all instances within the bindable capacity. Packing is greedy, largest first. It finds a binding for shapes that
 * nest (powers of two), but may miss one for other shapes that an exhaustive search would find.
 */
export const bindInstances = (bindable: BindableVms, requests: readonly BindRequest[]): readonly BindResult[] => {
    let best: readonly BindResult[] = [];
    let bestUnmet = Infinity;
    for (const { order, keepPrevious } of BINDING_STRATEGIES) {
        const results = new Binder(bindable).bind([...requests].sort(order.compare), keepPrevious);
        const unmet = unmetCount(results);
        if (unmet < bestUnmet) {
            best = results;
            bestUnmet = unmet;
        }
        if (unmet === 0) {
            break;
        }
    }
    return best;
};

/** Creates one request for each instance of each guarantee. */
export const bindRequests = (
    guarantees: readonly Guarantee[],
    previousOf: (guarantee: Guarantee, instance: number) => GuaranteeBinding | undefined,
    isInUse: (previous: GuaranteeBinding) => boolean,
): readonly BindRequest[] =>
    guarantees.flatMap(guarantee =>
        Array.from({ length: guarantee.count }, (_, instance): BindRequest => {
            const previous = previousOf(guarantee, instance);
            return { guarantee, instance, previous, isInUse: previous !== undefined && isInUse(previous) };
        })
    );
