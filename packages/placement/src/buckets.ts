/** An item with its place in the list that it comes from. */
export interface Positioned {
    readonly position: number;
}

/** Counts the items that were looked at; a time would not tell reliably how the work grows. */
export interface VisitCounter {
    visits: number;
}

/** Marks the end of a bucket. */
const NONE = -1;

/** Neighbours of items within their buckets, by position. Buckets that have no item in common may share them. */
export class BucketLinks<T extends Positioned> {
    readonly items: readonly T[];
    readonly next: Int32Array;
    readonly previous: Int32Array;
    readonly counter: VisitCounter;

    /** The items may be appended to the list later, up to this number. */
    constructor(items: readonly T[], maxItems: number, counter: VisitCounter) {
        this.counter = counter;
        this.items = items;
        this.next = new Int32Array(maxItems);
        this.previous = new Int32Array(maxItems);
    }
}

/** Items ordered by a small whole number, which changes often; equal ones in the order in which they were added. */
export class Buckets<T extends Positioned> {
    readonly #links: BucketLinks<T>;
    readonly #first: number[] = [];
    readonly #last: number[] = [];

    constructor(links: BucketLinks<T>) {
        this.#links = links;
    }

    /** Adds an item that is in none of the buckets. */
    add(key: number, { position }: T): void {
        while (this.#first.length <= key) {
            this.#first.push(NONE);
            this.#last.push(NONE);
        }
        const { next, previous } = this.#links;
        const last = this.#last[key] ?? NONE;
        previous[position] = last;
        next[position] = NONE;
        if (last === NONE) {
            this.#first[key] = position;
        }
        else {
            next[last] = position;
        }
        this.#last[key] = position;
    }

    /** Removes an item from the bucket that it was added to. */
    remove(key: number, { position }: T): void {
        const { next, previous } = this.#links;
        const after = next[position] ?? NONE;
        const before = previous[position] ?? NONE;
        if (before === NONE) {
            this.#first[key] = after;
        }
        else {
            next[before] = after;
        }
        if (after === NONE) {
            this.#last[key] = before;
        }
        else {
            previous[after] = before;
        }
    }

    /** Visits the items from the given key upwards until a visit returns true. */
    scan(from: number, visit: (item: T) => boolean): void {
        const { items, next, counter } = this.#links;
        for (let key = from; key < this.#first.length; key += 1) {
            for (let at = this.#first[key] ?? NONE; at !== NONE; at = next[at] ?? NONE) {
                counter.visits += 1;
                const item = items[at];
                if (item !== undefined && visit(item)) {
                    return;
                }
            }
        }
    }
}
