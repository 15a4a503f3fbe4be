/** Items ordered by a small whole number, which changes often. */
export class Buckets<T> {
    readonly #sets: Set<T>[] = [];

    add(key: number, item: T): void {
        while (this.#sets.length <= key) {
            this.#sets.push(new Set());
        }
        this.#sets[key]?.add(item);
    }

    remove(key: number, item: T): void {
        this.#sets[key]?.delete(item);
    }

    /** Visits the items from the given key upwards until a visit returns true. */
    scan(from: number, visit: (item: T) => boolean): void {
        for (let key = from; key < this.#sets.length; key += 1) {
            for (const item of this.#sets[key] ?? []) {
                if (visit(item)) {
                    return;
                }
            }
        }
    }
}
