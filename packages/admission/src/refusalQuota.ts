import type { Millis } from "@persimmonpitch/clock/clock.js";

const BUCKET_MS: Millis = 1_000;
/** The current bucket and those before it cover at most ten seconds. */
const BUCKETS = 10;
const MAX_REFUSED_SHARE = 0.5;

interface Bucket {
    readonly number: number;
    submissions: number;
    refusals: number;
}

/** Limits the refusals of each queue to half of its submissions of the last ten seconds, in case a forecast is wrong. */
export class RefusalQuota {
    private readonly byQueue = new Map<string, readonly Bucket[]>();

    /** Records a submission to the queue. Returns whether it is refused, which `wantsRefusal` asks for. */
    record(queue: string, wantsRefusal: boolean, now: Millis): boolean {
        const number = Math.floor(now / BUCKET_MS);
        const recent = (this.byQueue.get(queue) ?? []).filter(bucket =>
            bucket.number <= number && bucket.number > number - BUCKETS
        );
        const submissions = recent.reduce((sum, bucket) => sum + bucket.submissions, 0);
        const refusals = recent.reduce((sum, bucket) => sum + bucket.refusals, 0);
        const isRefused = wantsRefusal && refusals + 1 <= MAX_REFUSED_SHARE * (submissions + 1);
        const last = recent.at(-1);
        const bucket = last?.number === number ? last : { number, submissions: 0, refusals: 0 };
        bucket.submissions += 1;
        bucket.refusals += Number(isRefused);
        this.byQueue.set(queue, bucket === last ? recent : [...recent, bucket]);
        return isRefused;
    }
}
