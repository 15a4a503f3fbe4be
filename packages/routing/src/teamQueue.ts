/** Waiting requests of one team in one class: first in, first out, with a constant cost for each operation. */
import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { RoutedRequest } from "./directRequest.js";

/** A waiting request with the work that it is expected to need. */
export interface QueueEntry {
    readonly request: RoutedRequest;
    readonly workMs: Millis;
}

/** Taken entries are dropped from the array in blocks, because removing each one at the front would move the rest. */
const COMPACT_AFTER = 256;

/** The queue of one team. */
export class TeamQueue {
    /** Start tag of the fair queueing: work that the team has been given, divided by its weight. */
    startTag = 0;
    private entries: QueueEntry[] = [];
    private head = 0;
    private work = 0;

    get length(): number {
        return this.entries.length - this.head;
    }

    get workMs(): Millis {
        return this.work;
    }

    first(): QueueEntry | undefined {
        return this.entries[this.head];
    }

    push(entry: QueueEntry): void {
        this.entries.push(entry);
        this.work += entry.workMs;
    }

    putFront(entry: QueueEntry): void {
        this.entries.splice(0, this.head, entry);
        this.head = 0;
        this.work += entry.workMs;
    }

    shift(): QueueEntry | undefined {
        const entry = this.entries[this.head];
        if (entry === undefined) {
            return undefined;
        }
        this.head += 1;
        this.work = this.length === 0 ? 0 : this.work - entry.workMs;
        if (this.head >= COMPACT_AFTER) {
            this.entries = this.entries.slice(this.head);
            this.head = 0;
        }
        return entry;
    }

    /** Removes the entries for which `isRemoved` holds. */
    removeWhere(isRemoved: (entry: QueueEntry) => boolean): readonly QueueEntry[] {
        const waiting = this.entries.slice(this.head);
        const removed = waiting.filter(isRemoved);
        this.entries = waiting.filter(entry => !isRemoved(entry));
        this.head = 0;
        this.work = this.entries.reduce((sum, entry) => sum + entry.workMs, 0);
        return removed;
    }
}
