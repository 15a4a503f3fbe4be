/**
 * Rotates a part of the searches of each pass among the units that passes had no search left for, so that the units of
 * better rank cannot use up every pass.
 */
export class SearchTurns {
    /** Ids of the steps that passes skipped, the longest waiting first. */
    private queued: readonly string[] = [];
    private current: readonly string[] = [];

    /** Ids of the steps that the next pass has to search for, at most `count`. */
    next(count: number): ReadonlySet<string> {
        this.current = this.queued.slice(0, count);
        return new Set(this.current);
    }

    /** Records the ids of the steps that the pass skipped. */
    record(skipped: readonly string[]): void {
        const stillSkipped = new Set(skipped);
        const waiting = this.queued.slice(this.current.length).filter(id => stillSkipped.has(id));
        const known = new Set(waiting);
        this.queued = [...waiting, ...skipped.filter(id => !known.has(id))];
    }
}
