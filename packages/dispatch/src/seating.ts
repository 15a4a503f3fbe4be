import type { Demand } from "@persimmonpitch/workload/step.js";
import { accepts, capacitySeats, type ExecutorRoom, seatsIn } from "./executorRoom.js";
import { groupBy } from "./groupBy.js";
import type { ReadyUnit } from "./readyUnits.js";
import type { RoomIndex, RoomPool, Rooms } from "./roomIndex.js";

/** Tasks of a unit on one executor. */
export interface Seat {
    readonly room: ExecutorRoom;
    readonly count: number;
}

/** What part of an executor may be used. */
export type Available = (room: ExecutorRoom) => Demand;

/** Weight of each resource when the remainder of an executor is judged, by how scarce it is. */
export type Scarcity = Demand;

/** What seats are weighed with and found by. */
export interface SeatingContext {
    readonly scarcity: Scarcity;
    readonly index: RoomIndex;
}

/** Where the tasks of a unit can go. */
export interface Spans {
    /** Sets of executors in each of which the unit runs at full speed. */
    readonly preferred: readonly (readonly ExecutorRoom[])[];
    /** All executors that accept it; it runs slower there, if there is a choice at all. */
    readonly fallback: readonly ExecutorRoom[] | undefined;
}

/** Keeps best fit defined while nothing is in use. */
const MIN_SCARCITY = 0.01;

/** A place on a suspect executor counts as worse than any remainder. */
const SUSPECT_PENALTY = 10;

const share = (part: number, whole: number): number => whole > 0 ? part / whole : 0;

/** Scarcity of each resource: the share of it that is in use. */
export const scarcityOf = (rooms: readonly ExecutorRoom[]): Scarcity => {
    const weightOf = (resource: keyof Demand): number => {
        const capacity = rooms.reduce((sum, { executor }) => sum + executor.capacity[resource], 0);
        const free = rooms.reduce((sum, room) => sum + Math.max(0, room.free[resource]), 0);
        return capacity > 0 ? Math.max(MIN_SCARCITY, 1 - free / capacity) : 0;
    };
    return {
        milliCores: weightOf("milliCores"),
        memoryMb: weightOf("memoryMb"),
        accelerators: weightOf("accelerators"),
    };
};

/** Remainder of an executor after `count` tasks, as a weighted share of its capacity. */
const remainderOf = (
    { executor: { capacity } }: ExecutorRoom,
    available: Demand,
    { demand }: ReadyUnit,
    count: number,
    scarcity: Scarcity,
): number => {
    const resourceShare = (resource: keyof Demand): number =>
        scarcity[resource] * share(available[resource] - count * demand[resource], capacity[resource]);
    return resourceShare("accelerators") + resourceShare("memoryMb") + resourceShare("milliCores");
};

/** Executors with the same seats and the same cost. */
interface Candidate {
    readonly rooms: Rooms;
    readonly seats: number;
    readonly free: number;
    readonly cost: number;
}

const candidateOf = (
    room: ExecutorRoom,
    rooms: Rooms,
    unit: ReadyUnit,
    count: number,
    available: Available,
    { scarcity }: SeatingContext,
): readonly Candidate[] => {
    const part = available(room);
    const seats = seatsIn(room, unit, part);
    if (seats === 0) {
        return [];
    }
    const remainder = remainderOf(room, part, unit, Math.min(seats, count), scarcity);
    const penalty = room.health === "healthy" ? 0 : SUSPECT_PENALTY;
    return [{ rooms, seats, free: part.accelerators, cost: remainder + penalty }];
};

/** Candidates of a whole pool by classes of executors; those with tasks of the step have other seats than their class. */
const candidatesOf = (
    rooms: Rooms,
    unit: ReadyUnit,
    count: number,
    available: Available,
    context: SeatingContext,
): readonly Candidate[] => {
    const isSeparate = unit.step.maxPerExecutor === undefined
        ? () => false
        : ({ tasksOfStep }: ExecutorRoom) => tasksOfStep.has(unit.stepId);
    const classes = context.index.classesWith(rooms, unit.demand);
    const groups = classes === undefined
        ? rooms.map(room => [room])
        : classes.flatMap(one => {
            if (!one.rooms.some(isSeparate)) {
                return [one.rooms];
            }
            return [one.rooms.filter(room => !isSeparate(room)), ...one.rooms.filter(isSeparate).map(room => [room])];
        });
    return groups.flatMap(group => {
        const [first] = group;
        return first === undefined || classes !== undefined && !accepts(first, unit)
            ? []
            : candidateOf(first, group, unit, count, available, context);
    });
};

const byCost = (left: Candidate, right: Candidate): number => left.cost - right.cost || left.free - right.free;

/** The candidates by cost with one executor in each; of equal ones the first in the order of the view. */
function* inOrder(candidates: readonly Candidate[]): Generator<Candidate & { readonly room: ExecutorRoom; }> {
    const sorted = [...candidates].sort(byCost);
    for (let from = 0, to = 0; from < sorted.length; from = to) {
        const [first] = sorted.slice(from, from + 1);
        while (first !== undefined && sorted[to] !== undefined && byCost(first, sorted[to] ?? first) === 0) {
            to += 1;
        }
        const equal = sorted.slice(from, to);
        const placed = equal.flatMap(candidate => candidate.rooms.map(room => ({ ...candidate, room })));
        yield* equal.length === 1 ? placed : placed.sort((left, right) => left.room.index - right.room.index);
    }
}

/** A way to place tasks, and the weighted room that it leaves on the executors it uses. */
export interface Seating {
    readonly seats: readonly Seat[];
    readonly count: number;
    readonly remainder: number;
}

/** Places up to `count` tasks by best fit, so that whole executors stay free for gangs. */
export const fillSeats = (
    rooms: readonly ExecutorRoom[],
    unit: ReadyUnit,
    count: number,
    available: Available,
    context: SeatingContext,
): Seating => {
    const seats: Seat[] = [];
    let placed = 0;
    let remainder = 0;
    for (const candidate of inOrder(candidatesOf(rooms, unit, count, available, context))) {
        if (placed === count) {
            break;
        }
        const taken = Math.min(candidate.seats, count - placed);
        seats.push({ room: candidate.room, count: taken });
        placed += taken;
        remainder += candidate.cost;
    }
    return { seats, count: placed, remainder };
};

/** The whole number of tasks in the set of executors that this leaves least of; undefined where they do not fit. */
export const fillBestSpan = (
    spans: readonly (readonly ExecutorRoom[])[],
    unit: ReadyUnit,
    count: number,
    available: Available,
    context: SeatingContext,
): Seating | undefined => {
    const [only] = spans;
    if (only !== undefined && spans.length === 1) {
        const seating = fillSeats(only, unit, count, available, context);
        return seating.count === count ? seating : undefined;
    }
    let best: Seating | undefined;
    let bestCost = Infinity;
    for (const rooms of context.index.racksWith(spans, count * unit.demand.accelerators) ?? spans) {
        const seating = fillSeats(rooms, unit, count, available, context);
        const left = rooms.reduce((sum, room) => sum + Math.max(0, room.free.accelerators), 0);
        const cost = seating.remainder + share(left, MAX_RACK_ACCELERATORS);
        if (seating.count === count && cost < bestCost) {
            best = seating;
            bestCost = cost;
        }
    }
    return best;
};

/** Scales the free accelerators of a rack, so that they only decide between racks of equal remainder. */
const MAX_RACK_ACCELERATORS = 1_000;

const byRack = (rooms: Rooms): ReadonlyMap<string, Rooms> => groupBy(rooms, ({ rack }) => rack);

/** Number of tasks that the executors would hold if they ran nothing else. */
const totalSeats = (rooms: readonly ExecutorRoom[], unit: ReadyUnit): number =>
    rooms.reduce((sum, room) => sum + capacitySeats(room, unit), 0);

type SpanKind = "tight" | "data" | "plain";

const spanKind = ({ step: { isGang, isTight, count, dataRack } }: ReadyUnit): SpanKind => {
    if (isGang && isTight && count > 1) {
        return "tight";
    }
    return dataRack === undefined ? "plain" : "data";
};

const isDataRack = ({ step: { dataRack } }: ReadyUnit, rooms: readonly ExecutorRoom[]): boolean =>
    rooms[0]?.rack === dataRack;

/** The racks that hold so many tasks of the unit when they are empty. */
const racksFor = (racks: ReadonlyMap<string, Rooms>, unit: ReadyUnit, needed: number, index: RoomIndex) => {
    const seatsOfKind = new Map<string, number>();
    return [...racks.values()].filter(rooms => {
        const kind = index.emptyKey(rooms);
        const seats = seatsOfKind.get(kind) ?? totalSeats(rooms, unit);
        seatsOfKind.set(kind, seats);
        return seats >= needed;
    });
};

type SpansHandler = (pool: RoomPool, unit: ReadyUnit, index: RoomIndex) => Spans;

/** Sets of executors for a unit, by what its tasks run slower for. */
const SPANS: { readonly [K in SpanKind]: SpansHandler; } = {
    tight: (pool, unit, index) => {
        const { rooms } = pool;
        const racks = racksFor(pool.racks, unit, unit.step.count, index);
        const dataRacks = racks.filter(rack => isDataRack(unit, rack));
        if (dataRacks.length > 0) {
            return { preferred: dataRacks, fallback: rooms };
        }
        if (unit.step.maxPerExecutor === undefined) {
            index.noteRacks(racks, pool);
        }
        return racks.length > 0
            ? { preferred: racks, fallback: rooms }
            : { preferred: [rooms], fallback: undefined };
    },
    data: ({ rooms, racks }, unit) => {
        const needed = unit.step.isGang ? unit.step.count : 1;
        const rack = racks.get(unit.step.dataRack ?? "");
        return rack !== undefined && totalSeats(rack, unit) >= needed
            ? { preferred: [rack], fallback: rooms }
            : { preferred: [rooms], fallback: undefined };
    },
    plain: ({ rooms }) => ({ preferred: [rooms], fallback: undefined }),
};

/** The executors that a unit can use and those it prefers; those to avoid are left out if the others can ever hold it. */
export const spansOf = (
    unit: ReadyUnit,
    avoided: ReadonlySet<number>,
    index: RoomIndex,
): Spans => {
    const handler = SPANS[spanKind(unit)];
    const pool = index.poolFor(unit, room => accepts(room, unit));
    const others = avoided.size === 0 ? pool.rooms : pool.rooms.filter(room => !avoided.has(room.index));
    if (others.length === pool.rooms.length) {
        return handler(pool, unit, index);
    }
    const needed = unit.step.isGang ? unit.step.count : 1;
    return totalSeats(others, unit) < needed
        ? handler(pool, unit, index)
        : handler({ rooms: others, racks: byRack(others) }, unit, index);
};
