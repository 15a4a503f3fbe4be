import type { Demand } from "@persimmonpitch/workload/step.js";
import { accepts, capacitySeats, type ExecutorRoom, seatsIn } from "./executorRoom.js";
import { groupBy } from "./groupBy.js";
import type { ReadyUnit } from "./readyUnits.js";

/** Tasks of a unit on one executor. */
export interface Seat {
    readonly room: ExecutorRoom;
    readonly count: number;
}

/** What part of an executor may be used. */
export type Available = (room: ExecutorRoom) => Demand;

/** Weight of each resource when the remainder of an executor is judged, by how scarce it is. */
export type Scarcity = Demand;

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

interface Candidate {
    readonly room: ExecutorRoom;
    readonly seats: number;
    readonly free: number;
    readonly cost: number;
}

const candidatesOf = (
    rooms: readonly ExecutorRoom[],
    unit: ReadyUnit,
    count: number,
    available: Available,
    scarcity: Scarcity,
): readonly Candidate[] =>
    rooms.flatMap(room => {
        const part = available(room);
        const seats = seatsIn(room, unit, part);
        if (seats === 0) {
            return [];
        }
        const remainder = remainderOf(room, part, unit, Math.min(seats, count), scarcity);
        const penalty = room.health === "healthy" ? 0 : SUSPECT_PENALTY;
        return [{ room, seats, free: part.accelerators, cost: remainder + penalty }];
    });

const byCost = (left: Candidate, right: Candidate): number =>
    left.cost - right.cost || left.free - right.free || left.room.index - right.room.index;

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
    scarcity: Scarcity,
): Seating => {
    const candidates = [...candidatesOf(rooms, unit, count, available, scarcity)].sort(byCost);
    const seats: Seat[] = [];
    let placed = 0;
    let remainder = 0;
    for (const candidate of candidates) {
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
    scarcity: Scarcity,
): Seating | undefined => {
    let best: Seating | undefined;
    let bestCost = Infinity;
    for (const rooms of spans) {
        const seating = fillSeats(rooms, unit, count, available, scarcity);
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

const byRack = (
    rooms: readonly ExecutorRoom[],
): readonly (readonly ExecutorRoom[])[] => [...groupBy(rooms, ({ rack }) => rack).values()];

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

/** Sets of executors for a unit, by what its tasks run slower for. */
const SPANS: { readonly [K in SpanKind]: (rooms: readonly ExecutorRoom[], unit: ReadyUnit) => Spans; } = {
    tight: (rooms, unit) => {
        const racks = byRack(rooms).filter(rack => totalSeats(rack, unit) >= unit.step.count);
        const dataRacks = racks.filter(rack => isDataRack(unit, rack));
        const preferred = dataRacks.length > 0 ? dataRacks : racks;
        return preferred.length > 0
            ? { preferred, fallback: rooms }
            : { preferred: [rooms], fallback: undefined };
    },
    data: (rooms, unit) => {
        const needed = unit.step.isGang ? unit.step.count : 1;
        const preferred = byRack(rooms)
            .filter(rack => isDataRack(unit, rack) && totalSeats(rack, unit) >= needed);
        return preferred.length > 0
            ? { preferred, fallback: rooms }
            : { preferred: [rooms], fallback: undefined };
    },
    plain: rooms => ({ preferred: [rooms], fallback: undefined }),
};

/** The executors that a unit can use and those it prefers; those to avoid are left out if the others can ever hold it. */
export const spansOf = (
    rooms: readonly ExecutorRoom[],
    unit: ReadyUnit,
    avoided: ReadonlySet<number>,
): Spans => {
    const accepting = rooms.filter(room => accepts(room, unit));
    const others = accepting.filter(room => !avoided.has(room.index));
    const needed = unit.step.isGang ? unit.step.count : 1;
    const usable = others.length < accepting.length && totalSeats(others, unit) < needed ? accepting : others;
    return SPANS[spanKind(unit)](usable, unit);
};
