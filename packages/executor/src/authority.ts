/** The highest epoch that a controller has shown to this agent. */
export class Authority {
    private highest = 0;
    private superseded = new AbortController();

    /** 0 before the first controller. */
    get epoch(): number {
        return this.highest;
    }

    /** Aborts when a higher epoch arrives. */
    get signal(): AbortSignal {
        return this.superseded.signal;
    }

    /** Takes an epoch that is not lower than the highest; a higher one ends all work under the older. */
    accept(epoch: number): boolean {
        if (epoch > this.highest) {
            this.highest = epoch;
            this.superseded.abort();
            this.superseded = new AbortController();
        }
        return epoch === this.highest;
    }
}
