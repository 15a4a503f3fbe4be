/** An item that knows its index in the list that it belongs to. */
export interface Positioned {
    readonly position: number;
}

/** Counts the items examined. Tests use it instead of elapsed time, which does not show reliably how the cost grows. */
export interface VisitCounter {
    visits: number;
}

/** Null link: the end of a bucket. */
const NO_POSITION = -1;

/** Links of doubly linked lists, by item position. Buckets with no item in common can share one instance. */
export class BucketLinks<T extends Positioned> {
    readonly items: readonly T[];
    readonly next: Int32Array;
    readonly previous: Int32Array;
    readonly counter: VisitCounter;

    /** Items may be appended to the list after construction, up to `maxItems`. */
    constructor(items: readonly T[], maxItems: number, counter: VisitCounter) {
        this.counter = counter;
        this.items = items;
        this.next = new Int32Array(maxItems);
        this.previous = new Int32Array(maxItems);
    }
}

/** Bucket queue: items ordered by a small integer key that changes often, and within a key by order of insertion. */
export class Buckets<T extends Positioned> {
    readonly #links: BucketLinks<T>;
    readonly #first: number[] = [];
    readonly #last: number[] = [];

    constructor(links: BucketLinks<T>) {
        this.#links = links;
    }

    /** Appends an item that is not in any bucket. */
    add(key: number, { position }: T): void {
        while (this.#first.length <= key) {
            this.#first.push(NO_POSITION);
            this.#last.push(NO_POSITION);
        }
        const { next, previous } = this.#links;
        const last = this.#last[key] ?? NO_POSITION;
        previous[position] = last;
        next[position] = NO_POSITION;
        if (last === NO_POSITION) {
            this.#first[key] = position;
        }
        else {
            next[last] = position;
        }
        this.#last[key] = position;
    }

    /** Removes an item from its bucket. The key must be the one that it was added with. */
    remove(key: number, { position }: T): void {
        const { next, previous } = this.#links;
        const after = next[position] ?? NO_POSITION;
        const before = previous[position] ?? NO_POSITION;
        if (before === NO_POSITION) {
            this.#first[key] = after;
        }
        else {
            next[before] = after;
        }
        if (after === NO_POSITION) {
            this.#last[key] = before;
        }
        else {
            previous[after] = before;
        }
    }

    /** Visits items in order of their keys, starting at `minKey`, until `visit` returns true. */
    scan(minKey: number, visit: (item: T) => boolean): void {
        const { items, next, counter } = this.#links;
        for (let key = minKey; key < this.#first.length; key += 1) {
            for (
                let position = this.#first[key] ?? NO_POSITION;
                position !== NO_POSITION;
                position = next[position] ?? NO_POSITION
            ) {
                counter.visits += 1;
                const item = items[position];
                if (item !== undefined && visit(item)) {
                    return;
                }
            }
        }
    }
}
