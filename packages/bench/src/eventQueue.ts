interface Entry<T> {
    readonly at: number;
    readonly order: number;
    readonly value: T;
}

const isBefore = <T>(a: Entry<T>, b: Entry<T>): boolean => a.at < b.at || (a.at === b.at && a.order < b.order);

/** A binary heap of events ordered by time; events at the same time keep the order in which they were added. */
export class EventQueue<T> {
    private readonly heap: Entry<T>[] = [];
    private added = 0;

    /** Adds an event. */
    push(at: number, value: T): void {
        const entry = { at, order: this.added, value };
        this.added += 1;
        let index = this.heap.push(entry) - 1;
        while (index > 0) {
            const parentIndex = (index - 1) >> 1;
            const parent = this.entryAt(parentIndex);
            if (isBefore(parent, entry)) {
                break;
            }
            this.heap[index] = parent;
            index = parentIndex;
        }
        this.heap[index] = entry;
    }

    /** Removes and returns the earliest event. */
    pop(): { readonly at: number; readonly value: T; } | undefined {
        const first = this.heap[0];
        const last = this.heap.pop();
        if (first === undefined || last === undefined || first === last) {
            return first;
        }
        this.sink(last);
        return first;
    }

    /** Removes and returns the earliest event if it is due at `end` or before. */
    popUntil(end: number): { readonly at: number; readonly value: T; } | undefined {
        const first = this.heap[0];
        return first !== undefined && first.at <= end ? this.pop() : undefined;
    }

    private sink(entry: Entry<T>): void {
        let index = 0;
        for (;;) {
            let childIndex = 2 * index + 1;
            if (childIndex >= this.heap.length) {
                break;
            }
            if (childIndex + 1 < this.heap.length && isBefore(this.entryAt(childIndex + 1), this.entryAt(childIndex))) {
                childIndex += 1;
            }
            const child = this.entryAt(childIndex);
            if (isBefore(entry, child)) {
                break;
            }
            this.heap[index] = child;
            index = childIndex;
        }
        this.heap[index] = entry;
    }

    private entryAt(index: number): Entry<T> {
        const entry = this.heap[index];
        if (entry === undefined) {
            throw new RangeError(`no heap entry at index ${index}`);
        }
        return entry;
    }
}
