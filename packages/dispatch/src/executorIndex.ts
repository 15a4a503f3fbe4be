import type { Demand } from "@persimmonpitch/workload/step.js";
import { type ExecutorResources, freeAfterStops } from "./executorResources.js";
import { groupBy } from "./groupBy.js";
import type { ReadyUnit } from "./readyUnits.js";

/** Executors in the order of the view. */
export type Executors = readonly ExecutorResources[];

/**
 * Executors that are equivalent for every unit without a limit per executor: it has equal slots and cost on each of
 * them.
 */
export interface ExecutorClass {
    readonly key: string;
    /** In the order of the view. */
    readonly executors: ExecutorResources[];
    /** Resources free on each of them after the pending stops; an upper bound of what a unit can use. */
    readonly maxFree: Demand;
}

/** All executors that accept units of one service and required label. */
export interface ExecutorPool {
    readonly executors: Executors;
    readonly members: ReadonlySet<ExecutorResources>;
    /** The executors of each rack, in the order of their first executors. */
    readonly racks: ReadonlyMap<string, Executors>;
    readonly rackList: readonly Executors[];
    /** The racks by the shapes and health of their executors, which decide what the racks hold when empty. */
    readonly rackKinds: ReadonlyMap<string, readonly Executors[]>;
}

/** The executors that are slower than one slowness and not slower than another. */
export interface SpeedRange {
    readonly above: number;
    readonly upTo: number;
}

/** Executors with the same number of accelerators free after the pending stops. */
interface AcceleratorLevel {
    readonly classes: Set<ExecutorClass>;
    /** In the order of the view. */
    readonly executors: ExecutorResources[];
}

/** Racks that consist of executors of the same classes in the same order. */
export interface RackClass {
    readonly key: string;
    readonly racks: Set<string>;
    /** Accelerators free in each rack after the pending stops; an upper bound of what a unit can use. */
    readonly accelerators: number;
}

const demandKey = ({ accelerators, milliCores, memoryMb }: Demand): string =>
    `${accelerators} ${milliCores} ${memoryMb}`;

const shapeOf = ({ service, takesWork, labels, capacity }: ExecutorResources["view"]): string =>
    JSON.stringify([service, takesWork, labels, demandKey(capacity)]);

/** Executors with equal keys have equal slots and costs for every unit without a limit per executor. */
const classKey = (executor: ExecutorResources, shape: number): string => {
    const { index, health, slowness, taskCount, free, releasing, claimed, reservation } = executor;
    const reservationKey = reservation === undefined ? "" : ` at ${index}`;
    const tasks = health === "probing" ? taskCount : 0;
    return `${shape} ${health} ${slowness} ${tasks} ${demandKey(free)} ${demandKey(releasing)} ${
        demandKey(claimed)
    }${reservationKey}`;
};

/** Position at which an executor is, or is to be inserted, in a list in the order of the view. */
const insertionIndex = (executors: Executors, { index }: ExecutorResources): number => {
    let from = 0;
    let to = executors.length;
    while (from < to) {
        const middle = (from + to) >> 1;
        if ((executors[middle]?.index ?? Infinity) < index) {
            from = middle + 1;
        }
        else {
            to = middle;
        }
    }
    return from;
};

/**
 * Indexes executors by their free resources, so that a unit is compared with each class of executors and not with each
 * one.
 */
export class ExecutorIndex {
    private readonly shapes = new Map<string, number>();
    private readonly shapeOfExecutor: readonly number[];
    private readonly classes = new Map<string, ExecutorClass>();
    private readonly classOfExecutor: (ExecutorClass | undefined)[] = [];
    private readonly levels = new Map<number, AcceleratorLevel>();
    private readonly executorsByRack = new Map<string, ExecutorResources[]>();
    private readonly rackClasses = new Map<string, RackClass>();
    private readonly rackLevels = new Map<number, Set<RackClass>>();
    private readonly classOfRack = new Map<string, RackClass>();
    /** The slowness of the executors, each value once, in ascending order. */
    readonly speeds: readonly number[];
    private readonly changed: Set<ExecutorResources>;
    private readonly poolsBySpeed = new Map<ExecutorPool, Map<string, ExecutorPool>>();
    private readonly pools = new Map<string, ExecutorPool>();
    private readonly poolOfExecutors = new Map<Executors, ExecutorPool>();
    private readonly poolOfRacks = new Map<readonly Executors[], ExecutorPool>();

    constructor(private readonly executors: Executors) {
        this.shapeOfExecutor = executors.map(({ view }) => {
            const key = shapeOf(view);
            const shape = this.shapes.get(key) ?? this.shapes.size;
            this.shapes.set(key, shape);
            return shape;
        });
        this.speeds = [...new Set(executors.map(({ slowness }) => slowness))].sort((left, right) => left - right);
        this.changed = new Set(executors);
        for (const executor of executors) {
            executor.onChanged = () => {
                this.changed.add(executor);
            };
            const ofRack = this.executorsByRack.get(executor.rack) ?? [];
            ofRack.push(executor);
            this.executorsByRack.set(executor.rack, ofRack);
        }
    }

    /** The executors that accept the unit. Units of the same service and label that need no advice share one pool. */
    poolFor(
        { openOccurrence, allowed, step: { requiredLabel } }: ReadyUnit,
        accepts: (executor: ExecutorResources) => boolean,
    ): ExecutorPool {
        const key = JSON.stringify([openOccurrence.view.queue.service, requiredLabel]);
        const known = allowed === undefined ? this.pools.get(key) : undefined;
        if (known !== undefined) {
            return known;
        }
        const executors = this.executors.filter(accepts);
        const pool = { ...this.racksOf(executors), executors, members: new Set(executors) };
        // Advice may allow only some executors of a class, so an advised pool cannot be searched by class.
        if (allowed === undefined) {
            this.pools.set(key, pool);
            this.poolOfExecutors.set(executors, pool);
        }
        return pool;
    }

    /** The executors of a pool within a range of speeds. */
    inSpeedRange(pool: ExecutorPool, { above, upTo }: SpeedRange): ExecutorPool {
        const bySpeed = this.poolsBySpeed.get(pool) ?? new Map<string, ExecutorPool>();
        this.poolsBySpeed.set(pool, bySpeed);
        const key = `${above} ${upTo}`;
        const known = bySpeed.get(key);
        if (known !== undefined) {
            return known;
        }
        const executors = pool.executors.filter(({ slowness }) => slowness > above && slowness <= upTo);
        const found = { ...this.racksOf(executors), executors, members: new Set(executors) };
        bySpeed.set(key, found);
        if (this.poolOfExecutors.has(pool.executors)) {
            this.poolOfExecutors.set(executors, found);
        }
        return found;
    }

    /** Groups executors by rack, and the racks by the shapes and health of their executors. */
    racksOf(executors: Executors): Pick<ExecutorPool, "racks" | "rackList" | "rackKinds"> {
        const racks = groupBy(executors, ({ rack }) => rack);
        const shapesKey = (ofRack: Executors): string =>
            ofRack.map(({ index, health }) => `${this.shapeOfExecutor[index] ?? ""} ${health}`).join(",");
        const rackList = [...racks.values()];
        return { racks, rackList, rackKinds: groupBy(rackList, shapesKey) };
    }

    /** Registers a list of racks of the pool that contains, with a rack, all racks of the same shapes and health. */
    registerRacks(racks: readonly Executors[], { executors }: Pick<ExecutorPool, "executors">): void {
        const pool = this.poolOfExecutors.get(executors);
        // Lists from which single executors were left out belong to no pool, as their racks may differ within a class.
        if (pool !== undefined) {
            this.poolOfRacks.set(racks, pool);
        }
    }

    /**
     * The classes of executors that may have enough free resources for the demand; undefined if the list is not a
     * whole pool. Classes of speeds that the pool leaves out are left out.
     */
    classesWith(executors: Executors, demand: Demand): readonly ExecutorClass[] | undefined {
        const pool = this.poolOfExecutors.get(executors);
        if (pool === undefined) {
            return undefined;
        }
        this.update();
        const found: ExecutorClass[] = [];
        for (const [accelerators, { classes }] of this.levels) {
            if (accelerators < demand.accelerators) {
                continue;
            }
            for (const candidate of classes) {
                const [first] = candidate.executors;
                const isInPool = this.speeds.length === 1 || first !== undefined && pool.members.has(first);
                if (
                    isInPool && candidate.maxFree.milliCores >= demand.milliCores
                    && candidate.maxFree.memoryMb >= demand.memoryMb
                ) {
                    found.push(candidate);
                }
            }
        }
        return found;
    }

    /**
     * The `count` executors with the most accelerators free after the pending stops; undefined if the list is not a
     * whole pool.
     */
    withMostFree(executors: Executors, count: number): Executors | undefined {
        const members = this.poolOfExecutors.get(executors)?.members;
        if (members === undefined) {
            return undefined;
        }
        this.update();
        const found: ExecutorResources[] = [];
        const levels = [...this.levels].sort(([left], [right]) => right - left);
        for (const [, level] of levels) {
            for (const executor of level.executors) {
                if (found.length === count) {
                    return found;
                }
                if (members.has(executor)) {
                    found.push(executor);
                }
            }
        }
        return found;
    }

    /**
     * The first rack of each class of racks that may have the given number of accelerators free; undefined if the list
     * was not registered by `registerRacks`.
     */
    racksWithFree(racks: readonly Executors[], accelerators: number): readonly Executors[] | undefined {
        const pool = this.poolOfRacks.get(racks);
        if (pool === undefined) {
            return undefined;
        }
        this.update();
        const found: Executors[] = [];
        const classes = [...this.rackLevels].flatMap(([free, ofLevel]) => free >= accelerators ? [...ofLevel] : []);
        for (const rackClass of classes) {
            let first: Executors | undefined;
            for (const rack of rackClass.racks) {
                const executors = pool.racks.get(rack);
                if (executors !== undefined && (executors[0]?.index ?? Infinity) < (first?.[0]?.index ?? Infinity)) {
                    first = executors;
                }
            }
            if (first !== undefined) {
                found.push(first);
            }
        }
        return found.sort((left, right) => (left[0]?.index ?? 0) - (right[0]?.index ?? 0));
    }

    private update(): void {
        if (this.changed.size === 0) {
            return;
        }
        const racks = new Set<string>();
        for (const executor of this.changed) {
            this.remove(executor);
            this.add(executor);
            racks.add(executor.rack);
        }
        this.changed.clear();
        for (const rack of racks) {
            this.updateRack(rack);
        }
    }

    private remove(executor: ExecutorResources): void {
        const executorClass = this.classOfExecutor[executor.index];
        if (executorClass === undefined) {
            return;
        }
        executorClass.executors.splice(insertionIndex(executorClass.executors, executor), 1);
        const level = this.levels.get(executorClass.maxFree.accelerators);
        level?.executors.splice(insertionIndex(level.executors, executor), 1);
        if (executorClass.executors.length === 0) {
            this.classes.delete(executorClass.key);
            level?.classes.delete(executorClass);
        }
    }

    private add(executor: ExecutorResources): void {
        const key = classKey(executor, this.shapeOfExecutor[executor.index] ?? -1);
        const executorClass = this.classes.get(key) ?? { key, executors: [], maxFree: freeAfterStops(executor) };
        executorClass.executors.splice(insertionIndex(executorClass.executors, executor), 0, executor);
        this.classOfExecutor[executor.index] = executorClass;
        const level = this.levels.get(executorClass.maxFree.accelerators) ?? { classes: new Set(), executors: [] };
        this.levels.set(executorClass.maxFree.accelerators, level);
        level.executors.splice(insertionIndex(level.executors, executor), 0, executor);
        if (executorClass.executors.length === 1) {
            this.classes.set(key, executorClass);
            level.classes.add(executorClass);
        }
    }

    private updateRack(rack: string): void {
        const before = this.classOfRack.get(rack);
        before?.racks.delete(rack);
        if (before?.racks.size === 0) {
            this.rackClasses.delete(before.key);
            this.rackLevels.get(before.accelerators)?.delete(before);
        }
        const classes = (this.executorsByRack.get(rack) ?? []).flatMap(({ index }) =>
            this.classOfExecutor[index] ?? []
        );
        const key = classes.map(executorClass => executorClass.key).join(",");
        const accelerators = classes.reduce((sum, { maxFree }) => sum + Math.max(0, maxFree.accelerators), 0);
        const rackClass = this.rackClasses.get(key) ?? { key, racks: new Set(), accelerators };
        rackClass.racks.add(rack);
        this.rackClasses.set(key, rackClass);
        this.rackLevels.set(accelerators, (this.rackLevels.get(accelerators) ?? new Set()).add(rackClass));
        this.classOfRack.set(rack, rackClass);
    }
}
