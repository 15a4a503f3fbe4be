/** Good and bad counts in a ring of equal time buckets: constant memory, whatever the number of requests. */
import type { Millis } from "@persimmonpitch/clock/clock.js";

/** Counts over a period. */
export interface GoodBad {
    readonly good: number;
    readonly bad: number;
}

/** A ring of `length` buckets of `bucketMs` each. */
export class CountRing {
    private readonly good: Float64Array;
    private readonly bad: Float64Array;
    /** Number of the newest bucket since time 0; it rises only. */
    private newest = -1;

    constructor(readonly bucketMs: Millis, private readonly length: number) {
        this.good = new Float64Array(length);
        this.bad = new Float64Array(length);
    }

    add(isGood: boolean, now: Millis): void {
        this.advance(now);
        const counts = isGood ? this.good : this.bad;
        const index = this.newest % this.length;
        counts[index] = (counts[index] ?? 0) + 1;
    }

    /** Sums the newest buckets that lie within `windowMs`, including the present unfinished one. */
    sum(windowMs: Millis, now: Millis): GoodBad {
        this.advance(now);
        const buckets = Math.min(this.length, this.newest + 1, Math.ceil(windowMs / this.bucketMs));
        let good = 0;
        let bad = 0;
        for (let bucket = this.newest - buckets + 1; bucket <= this.newest; bucket += 1) {
            good += this.good[bucket % this.length] ?? 0;
            bad += this.bad[bucket % this.length] ?? 0;
        }
        return { good, bad };
    }

    private advance(now: Millis): void {
        const bucket = Math.floor(now / this.bucketMs);
        const first = Math.max(this.newest + 1, bucket - this.length + 1);
        for (let cleared = first; cleared <= bucket; cleared += 1) {
            this.good[cleared % this.length] = 0;
            this.bad[cleared % this.length] = 0;
        }
        this.newest = Math.max(this.newest, bucket);
    }
}
