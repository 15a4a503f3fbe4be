import { addTo, countedDemand, type MutableDemand, noDemand } from "./demand.js";
import { type ExecutorResources, freeAfterStops, slotsFor } from "./executorResources.js";
import { groupBy } from "./groupBy.js";
import type { ReadyUnit } from "./readyUnits.js";
import type { RunGroup } from "./runGroups.js";

/** What stopping a run group costs. */
export interface StopCost {
    /** Value that is lost by this stop. */
    readonly loss: number;
    /** The loss, raised for earlier starts of the same tasks; victims are chosen by it. */
    readonly cost: number;
}

/** A run group that may be preempted, with the cost of stopping it. */
export interface Victim extends StopCost {
    readonly group: RunGroup;
}

/** Victims whose resources suffice for all requested tasks, with their total cost. */
export interface VictimSet extends StopCost {
    readonly groups: readonly RunGroup[];
}

interface VictimSearch {
    readonly unit: ReadyUnit;
    /** Like all maps of the search, by the index of the executor. */
    readonly executors: ReadonlyMap<number, ExecutorResources>;
    /** Resources free on each executor once the chosen victims have ended. */
    readonly available: Map<number, MutableDemand>;
    /** Victims with a member on the executor, by increasing cost per accelerator. */
    readonly victims: ReadonlyMap<number, readonly Victim[]>;
    readonly chosen: Set<Victim>;
    /** Tasks that fit on each executor once the chosen victims have ended. */
    readonly slots: Map<number, number>;
    /** Sum of the slots of all executors. */
    total: number;
}

const costPerAccelerator = ({ group, cost }: Victim): number =>
    cost / Math.max(1, group.members.length * group.step.demand.accelerators);

const byCost = (left: Victim, right: Victim): number => costPerAccelerator(left) - costPerAccelerator(right);

const victimsByExecutor = (victims: readonly Victim[]): ReadonlyMap<number, readonly Victim[]> => {
    const victimOfExecutor = [...victims].sort(byCost).flatMap(victim =>
        [...new Set(victim.group.members.map(member => member.executorIndex))].map(executorIndex => ({
            executorIndex,
            victim,
        }))
    );
    const byExecutor = groupBy(victimOfExecutor, ({ executorIndex }) => executorIndex);
    return new Map([...byExecutor].map(([executorIndex, all]) => [executorIndex, all.map(({ victim }) => victim)]));
};

/** Adds `factor` times the resources that the victim holds on the executor. */
const addReleased = (victim: Victim, executorIndex: number, available: MutableDemand, factor: number): void => {
    const memberCount = victim.group.members.filter(member => member.executorIndex === executorIndex).length;
    addTo(available, countedDemand(victim.group.step), factor * memberCount);
};

const updateSlots = (search: VictimSearch, executor: ExecutorResources): void => {
    const { unit, available, slots } = search;
    const slotCount = slotsFor(executor, unit, available.get(executor.index) ?? noDemand());
    search.total += slotCount - (slots.get(executor.index) ?? 0);
    slots.set(executor.index, slotCount);
};

/** Drops victims that are not needed, trying the most expensive first. */
const dropUnneeded = (
    victims: readonly Victim[],
    isEnough: (remaining: readonly Victim[]) => boolean,
): readonly Victim[] =>
    [...victims].sort((left, right) => right.cost - left.cost).reduce<readonly Victim[]>((kept, victim) => {
        const remaining = kept.filter(other => other !== victim);
        return isEnough(remaining) ? remaining : kept;
    }, victims);

/** Victims that free a slot for one more task on an executor, chosen greedily by cost per accelerator. */
const victimsForNextSlot = (search: VictimSearch, executor: ExecutorResources): readonly Victim[] | undefined => {
    const { unit, available, victims, chosen } = search;
    const slots = search.slots.get(executor.index) ?? 0;
    const slotsAfterStopping = (picked: readonly Victim[]): number => {
        const free = { ...available.get(executor.index) ?? noDemand() };
        picked.forEach(victim => {
            addReleased(victim, executor.index, free, 1);
        });
        return slotsFor(executor, unit, free);
    };
    const picked: Victim[] = [];
    for (const victim of victims.get(executor.index) ?? []) {
        if (chosen.has(victim)) {
            continue;
        }
        picked.push(victim);
        if (slotsAfterStopping(picked) > slots) {
            return dropUnneeded(picked, remaining => slotsAfterStopping(remaining) > slots);
        }
    }
    return undefined;
};

/** Adds the victim to the chosen ones (1) or removes it (-1), and updates the slots of its executors. */
const setChosen = (search: VictimSearch, victim: Victim, factor: 1 | -1): void => {
    if (factor === 1) {
        search.chosen.add(victim);
    }
    else {
        search.chosen.delete(victim);
    }
    for (const executorIndex of new Set(victim.group.members.map(member => member.executorIndex))) {
        const free = search.available.get(executorIndex);
        const executor = search.executors.get(executorIndex);
        if (free !== undefined && executor !== undefined) {
            addReleased(victim, executorIndex, free, factor);
            updateSlots(search, executor);
        }
    }
};

const totalCost = (victims: Iterable<Victim>): number => [...victims].reduce((sum, { cost }) => sum + cost, 0);

/** Victims that together free one more slot. */
interface NextVictims {
    readonly victims: readonly Victim[];
    readonly cost: number;
}

const cheapestNextVictims = (
    search: VictimSearch,
    cache: Map<number, NextVictims | undefined>,
): NextVictims | undefined => {
    let best: NextVictims | undefined;
    for (const executor of search.executors.values()) {
        if (!cache.has(executor.index)) {
            const victims = victimsForNextSlot(search, executor);
            cache.set(executor.index, victims && { victims, cost: totalCost(victims) });
        }
        const next = cache.get(executor.index);
        if (next !== undefined && next.cost < (best?.cost ?? Infinity)) {
            best = next;
        }
    }
    return best;
};

/**
 * Chooses victims greedily, one slot at a time, until `count` tasks of the unit fit on the executors once the victims
 * have ended. Victims that later choices made unnecessary are dropped at the end. Undefined if there are not enough
 * victims.
 */
export const chooseVictims = (
    executors: readonly ExecutorResources[],
    unit: ReadyUnit,
    count: number,
    victims: readonly Victim[],
): VictimSet | undefined => {
    const search: VictimSearch = {
        unit,
        executors: new Map(executors.map(executor => [executor.index, executor])),
        available: new Map(executors.map(executor => [executor.index, freeAfterStops(executor)])),
        victims: victimsByExecutor(victims),
        chosen: new Set(),
        slots: new Map(),
        total: 0,
    };
    executors.forEach(executor => {
        updateSlots(search, executor);
    });
    const cache = new Map<number, NextVictims | undefined>();
    while (search.total < count) {
        const next = cheapestNextVictims(search, cache);
        if (next === undefined) {
            return undefined;
        }
        for (const victim of next.victims) {
            setChosen(search, victim, 1);
            victim.group.members.forEach(({ executorIndex }) => cache.delete(executorIndex));
        }
    }
    for (const victim of [...search.chosen].sort((left, right) => right.cost - left.cost)) {
        setChosen(search, victim, -1);
        if (search.total < count) {
            setChosen(search, victim, 1);
        }
    }
    const chosen = [...search.chosen];
    return {
        groups: chosen.map(({ group }) => group),
        loss: chosen.reduce((sum, { loss }) => sum + loss, 0),
        cost: totalCost(chosen),
    };
};
