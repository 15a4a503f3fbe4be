import type { Demand } from "@persimmonpitch/workload/step.js";
import type { ExecutorIndex, ExecutorPool, Executors } from "./executorIndex.js";
import { accepts, type ExecutorResources, holdTogether, slotsFor, slotsWhenEmpty } from "./executorResources.js";
import type { ReadyUnit } from "./readyUnits.js";

/** Tasks of a unit on one executor. */
export interface Assignment {
    readonly executor: ExecutorResources;
    readonly count: number;
}

/** Returns the resources of an executor that may be used. */
export type AvailableResources = (executor: ExecutorResources) => Demand;

/** Weight of each resource in the remainder of an executor: the share of the resource that is in use. */
export type Scarcity = Demand;

/** Weights and index of the executors for the search for the best fit. */
export interface PackingContext {
    readonly scarcity: Scarcity;
    readonly index: ExecutorIndex;
}

/** The executors on which the tasks of a unit can run. */
export interface ExecutorSets {
    /** Sets of executors in each of which the unit runs at full speed, or as slowly as its slack allows. */
    readonly preferred: readonly (readonly ExecutorResources[])[];
    /**
     * All executors that accept the unit, where it runs slower unless all tasks are on a preferred set. Undefined if
     * the preferred set is all of them.
     */
    readonly fallback: readonly ExecutorResources[] | undefined;
    /** Slowness of the slowest executor if the fallback is slower than the unit tolerates, otherwise 1. */
    readonly fallbackSlowness: number;
    /** Whether tasks on the fallback executors are slowed down by their racks. */
    readonly isFallbackAway: boolean;
}

/** Preferred and fallback executors by their racks alone. */
type RackSets = Pick<ExecutorSets, "preferred" | "fallback">;

/** Lower bound of a weight, so that best fit still compares remainders while nothing is in use. */
const MIN_SCARCITY = 0.01;

/** Added to the cost of an executor that is not healthy; exceeds any remainder. */
const SUSPECT_PENALTY = 10;

/**
 * Added to the cost of an executor of normal speed if others are slow, so that work with slack leaves it to urgent work;
 * exceeds any remainder.
 */
const NORMAL_SPEED_PENALTY = 4;

const share = (part: number, whole: number): number => whole > 0 ? part / whole : 0;

/** The share of each resource of all executors that is in use. */
export const scarcityOf = (executors: readonly ExecutorResources[]): Scarcity => {
    const weightOf = (resource: keyof Demand): number => {
        const capacity = executors.reduce((sum, { view }) => sum + view.capacity[resource], 0);
        const free = executors.reduce((sum, executor) => sum + Math.max(0, executor.free[resource]), 0);
        return capacity > 0 ? Math.max(MIN_SCARCITY, 1 - free / capacity) : 0;
    };
    return {
        milliCores: weightOf("milliCores"),
        memoryMb: weightOf("memoryMb"),
        accelerators: weightOf("accelerators"),
    };
};

/** Resources left on an executor after `count` tasks, as a weighted sum of shares of its capacity. */
const remainderOf = (
    { view: { capacity } }: ExecutorResources,
    available: Demand,
    { demand }: ReadyUnit,
    count: number,
    scarcity: Scarcity,
): number => {
    const resourceShare = (resource: keyof Demand): number =>
        scarcity[resource] * share(available[resource] - count * demand[resource], capacity[resource]);
    return resourceShare("accelerators") + resourceShare("memoryMb") + resourceShare("milliCores");
};

/** Executors with equal slots and equal cost for the requested tasks. */
interface Candidate {
    readonly executors: Executors;
    readonly slots: number;
    readonly free: number;
    readonly cost: number;
}

interface PackingRequest {
    readonly unit: ReadyUnit;
    readonly count: number;
    readonly available: AvailableResources;
}

/** Adds equivalent executors as one candidate; only the first is evaluated. */
const addCandidate = (
    found: Candidate[],
    executors: Executors,
    { unit, count, available }: PackingRequest,
    { scarcity, index }: PackingContext,
): void => {
    const [executor] = executors;
    if (executor === undefined) {
        return;
    }
    const usable = available(executor);
    const slots = slotsFor(executor, unit, usable);
    if (slots > 0) {
        const remainder = remainderOf(executor, usable, unit, Math.min(slots, count), scarcity);
        const penalty = (executor.health === "healthy" ? 0 : SUSPECT_PENALTY)
            + (index.speeds.length > 1 && executor.slowness === 1 ? NORMAL_SPEED_PENALTY : 0);
        found.push({ executors, slots, free: usable.accelerators, cost: remainder + penalty });
    }
};

/**
 * Splits a class of executors for a step with a limit per executor: an executor that already runs tasks of the step has
 * fewer slots than the others of its class, so it becomes a candidate of its own.
 */
const splitClass = (executors: Executors, { step: { maxPerExecutor }, stepId }: ReadyUnit): readonly Executors[] => {
    const isSeparate = ({ tasksOfStep }: ExecutorResources): boolean => tasksOfStep.has(stepId);
    return maxPerExecutor === undefined || !executors.some(isSeparate)
        ? [executors]
        : [
            executors.filter(executor => !isSeparate(executor)),
            ...executors.filter(isSeparate).map(executor => [executor]),
        ];
};

/** Evaluates a whole pool by classes of equivalent executors, and any other list one executor at a time. */
const candidatesOf = (executors: Executors, request: PackingRequest, context: PackingContext): readonly Candidate[] => {
    const found: Candidate[] = [];
    const classes = context.index.classesWith(executors, request.unit.demand);
    if (classes === undefined) {
        for (const executor of executors) {
            addCandidate(found, [executor], request, context);
        }
        return found;
    }
    for (const { executors: classMembers } of classes) {
        const [first] = classMembers;
        if (first !== undefined && accepts(first, request.unit)) {
            for (const equivalent of splitClass(classMembers, request.unit)) {
                addCandidate(found, equivalent, request, context);
            }
        }
    }
    return found;
};

const byCost = (left: Candidate, right: Candidate): number => left.cost - right.cost || left.free - right.free;

/** An executor and the candidate that it belongs to. */
interface CandidateExecutor {
    readonly candidate: Candidate;
    readonly executor: ExecutorResources;
}

/** Yields the executors of candidates of equal cost in the order of the view. */
function* executorsOfEqualCost(equal: readonly Candidate[]): Generator<CandidateExecutor> {
    const [only] = equal;
    if (only !== undefined && equal.length === 1) {
        for (const executor of only.executors) {
            yield { candidate: only, executor };
        }
        return;
    }
    yield* equal
        .flatMap(candidate => candidate.executors.map(executor => ({ candidate, executor })))
        .sort((left, right) => left.executor.index - right.executor.index);
}

/** Yields the executors by increasing cost, those of equal cost in the order of the view. */
function* byIncreasingCost(candidates: readonly Candidate[]): Generator<CandidateExecutor> {
    const sorted = candidates.length > 1 ? [...candidates].sort(byCost) : candidates;
    let equal: Candidate[] = [];
    for (const candidate of sorted) {
        const [first] = equal;
        if (first !== undefined && byCost(first, candidate) !== 0) {
            yield* executorsOfEqualCost(equal);
            equal = [];
        }
        equal.push(candidate);
    }
    yield* executorsOfEqualCost(equal);
}

/** An assignment of tasks to executors, with the number of tasks and the summed cost of the executors used. */
export interface Packing {
    readonly assignments: readonly Assignment[];
    readonly count: number;
    readonly remainder: number;
}

/** Assigns up to `count` tasks by best fit, which keeps whole executors free for gangs. */
export const packBestFit = (
    executors: readonly ExecutorResources[],
    unit: ReadyUnit,
    count: number,
    available: AvailableResources,
    context: PackingContext,
): Packing => {
    const assignments: Assignment[] = [];
    let packedCount = 0;
    let remainder = 0;
    for (
        const { candidate, executor } of byIncreasingCost(candidatesOf(executors, { unit, count, available }, context))
    ) {
        const taskCount = Math.min(candidate.slots, count - packedCount);
        assignments.push({ executor, count: taskCount });
        packedCount += taskCount;
        remainder += candidate.cost;
        if (packedCount === count) {
            break;
        }
    }
    return { assignments, count: packedCount, remainder };
};

/**
 * Assigns all `count` tasks to the one set where they leave the smallest remainder; undefined if they fit in no set.
 */
export const packBestSet = (
    sets: readonly (readonly ExecutorResources[])[],
    unit: ReadyUnit,
    count: number,
    available: AvailableResources,
    context: PackingContext,
): Packing | undefined => {
    const [only] = sets;
    if (only !== undefined && sets.length === 1) {
        const packing = packBestFit(only, unit, count, available, context);
        return packing.count === count ? packing : undefined;
    }
    let best: Packing | undefined;
    let bestCost = Infinity;
    for (const executors of context.index.racksWithFree(sets, count * unit.demand.accelerators) ?? sets) {
        const packing = packBestFit(executors, unit, count, available, context);
        const freeAccelerators = executors.reduce((sum, executor) => sum + Math.max(0, executor.free.accelerators), 0);
        const cost = packing.remainder + share(freeAccelerators, MAX_RACK_ACCELERATORS);
        if (packing.count === count && cost < bestCost) {
            best = packing;
            bestCost = cost;
        }
    }
    return best;
};

/** Divisor of the free accelerators of a rack, so that they only decide between racks of equal remainder. */
const MAX_RACK_ACCELERATORS = 1_000;

/** Number of tasks of the unit that the executors hold together when they run nothing else. */
const totalSlots = (executors: readonly ExecutorResources[], unit: ReadyUnit): number =>
    executors.reduce((sum, executor) => sum + slotsWhenEmpty(executor, unit), 0);

/** How placement affects the speed of a unit: by its gang being in one rack, by the rack of its data, or not at all. */
type Locality = "tight" | "data" | "plain";

const localityOf = ({ step: { isGang, isTight, count, dataRack } }: ReadyUnit): Locality => {
    if (isGang && isTight && count > 1) {
        return "tight";
    }
    return dataRack === undefined ? "plain" : "data";
};

type RackedPool = Omit<ExecutorPool, "members">;

const dataRackOf = ({ racks }: RackedPool, { step: { dataRack } }: ReadyUnit): Executors | undefined =>
    dataRack === undefined ? undefined : racks.get(dataRack);

const byFirstIndex = (left: Executors, right: Executors): number => (left[0]?.index ?? 0) - (right[0]?.index ?? 0);

/**
 * The racks that hold all tasks of the unit when they are empty. Returns the list of the pool itself if all racks do,
 * so that the index recognizes it.
 */
const racksFor = ({ rackKinds, rackList }: RackedPool, unit: ReadyUnit): readonly Executors[] => {
    const shapes = [...rackKinds.values()];
    const fitting = shapes.filter(([executors = []]) => totalSlots(executors, unit) >= unit.step.count);
    return fitting.length === shapes.length ? rackList : fitting.flat().sort(byFirstIndex);
};

type ExecutorSetsHandler = (pool: RackedPool, unit: ReadyUnit, index: ExecutorIndex) => RackSets;

/** Computes the executor sets of a unit by its locality. */
const EXECUTOR_SETS: { readonly [K in Locality]: ExecutorSetsHandler; } = {
    tight: (pool, unit, index) => {
        const { executors } = pool;
        const dataRack = dataRackOf(pool, unit);
        if (dataRack !== undefined && totalSlots(dataRack, unit) >= unit.step.count) {
            return { preferred: [dataRack], fallback: executors };
        }
        const racks = racksFor(pool, unit);
        if (unit.step.maxPerExecutor === undefined) {
            index.registerRacks(racks, pool);
        }
        return racks.length > 0
            ? { preferred: racks, fallback: executors }
            : { preferred: [executors], fallback: undefined };
    },
    data: (pool, unit) => {
        const needed = unit.step.isGang ? unit.step.count : 1;
        const dataRack = dataRackOf(pool, unit);
        return dataRack !== undefined && totalSlots(dataRack, unit) >= needed
            ? { preferred: [dataRack], fallback: pool.executors }
            : { preferred: [pool.executors], fallback: undefined };
    },
    plain: ({ executors }) => ({ preferred: [executors], fallback: undefined }),
};

/** Whether the executors hold enough tasks of the unit when they run nothing else. */
const canHold = (executors: readonly ExecutorResources[], unit: ReadyUnit): boolean =>
    holdTogether(executors, unit, executor => slotsWhenEmpty(executor, unit));

/** The executors that accept the unit. Avoided ones are left out if the other ones can hold the unit when empty. */
const poolWithout = (unit: ReadyUnit, avoided: ReadonlySet<number>, index: ExecutorIndex): ExecutorPool => {
    const pool = index.poolFor(unit, executor => accepts(executor, unit));
    const others = avoided.size === 0
        ? pool.executors
        : pool.executors.filter(executor => !avoided.has(executor.index));
    return others.length === pool.executors.length || !canHold(others, unit)
        ? pool
        : { ...index.racksOf(others), executors: others, members: new Set(others) };
};

/**
 * The sets of a gang among the executors that it tolerates: the slow ones and the normal ones apart, as a gang on both
 * would hold normal executors at the speed of the slow ones.
 */
const setsOfGangBySpeed = (usable: ExecutorPool, unit: ReadyUnit, index: ExecutorIndex): readonly Executors[] =>
    [
        index.inSpeedRange(usable, { above: 1, upTo: Infinity }).executors,
        index.inSpeedRange(usable, { above: 0, upTo: 1 }).executors,
    ].filter(executors => canHold(executors, unit));

/**
 * The executor sets of a unit that loses no value up to a slowness. Slower executors are its fallback, so that it waits
 * for others no longer than the slowdown costs.
 */
const setsBySpeed = (pool: ExecutorPool, unit: ReadyUnit, index: ExecutorIndex, maxSlowness: number): ExecutorSets => {
    const locality = localityOf(unit);
    const tolerated = index.inSpeedRange(pool, { above: 0, upTo: maxSlowness });
    const usable = canHold(tolerated.executors, unit) ? tolerated : pool;
    const sets = EXECUTOR_SETS[locality](usable, unit, index);
    const isAway = sets.fallback !== undefined;
    const apart = unit.step.isGang && locality === "plain" ? setsOfGangBySpeed(usable, unit, index) : [];
    if (apart.length < 2 && usable.executors.length === pool.executors.length) {
        return { ...sets, fallbackSlowness: 1, isFallbackAway: true };
    }
    return {
        preferred: apart.length < 2 ? sets.preferred : apart,
        fallback: pool.executors,
        fallbackSlowness: index.speeds.at(-1) ?? 1,
        isFallbackAway: isAway,
    };
};

/** The executor sets of a unit that loses no value on executors up to the given slowness. */
export const executorSetsFor = (
    unit: ReadyUnit,
    avoided: ReadonlySet<number>,
    index: ExecutorIndex,
    maxSlowness: number,
): ExecutorSets => {
    const pool = poolWithout(unit, avoided, index);
    return index.speeds.length > 1
        ? setsBySpeed(pool, unit, index, maxSlowness)
        : { ...EXECUTOR_SETS[localityOf(unit)](pool, unit, index), fallbackSlowness: 1, isFallbackAway: true };
};
