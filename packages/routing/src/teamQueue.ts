/** FIFO queue of one team in one work class, with amortized constant cost for `push` and `shift`. */
import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { RoutedRequest } from "./routedRequest.js";

/** A waiting request with its expected service time. */
export interface QueuedRequest {
    readonly request: RoutedRequest;
    readonly expectedServiceMs: Millis;
}

/** Removed requests are dropped from the array in blocks, because each removal at the front would move all others. */
const COMPACTION_THRESHOLD = 256;

export class TeamQueue {
    /** Start tag of start-time fair queueing: expected work dispatched for the team, divided by its weight. */
    startTag = 0;
    private requests: QueuedRequest[] = [];
    private head = 0;
    private totalWorkMs = 0;

    get length(): number {
        return this.requests.length - this.head;
    }

    /** Sum of the expected service times. */
    get expectedWorkMs(): Millis {
        return this.totalWorkMs;
    }

    peek(): QueuedRequest | undefined {
        return this.requests[this.head];
    }

    push(queued: QueuedRequest): void {
        this.requests.push(queued);
        this.totalWorkMs += queued.expectedServiceMs;
    }

    unshift(queued: QueuedRequest): void {
        this.requests.splice(0, this.head, queued);
        this.head = 0;
        this.totalWorkMs += queued.expectedServiceMs;
    }

    shift(): QueuedRequest | undefined {
        const queued = this.requests[this.head];
        if (queued === undefined) {
            return undefined;
        }
        this.head += 1;
        this.totalWorkMs = this.length === 0 ? 0 : this.totalWorkMs - queued.expectedServiceMs;
        if (this.head >= COMPACTION_THRESHOLD) {
            this.requests = this.requests.slice(this.head);
            this.head = 0;
        }
        return queued;
    }

    /** Removes and returns the requests for which `shouldRemove` holds. */
    removeWhere(shouldRemove: (queued: QueuedRequest) => boolean): readonly QueuedRequest[] {
        const remaining = this.requests.slice(this.head);
        const removed = remaining.filter(shouldRemove);
        this.requests = remaining.filter(queued => !shouldRemove(queued));
        this.head = 0;
        this.totalWorkMs = this.requests.reduce((sum, queued) => sum + queued.expectedServiceMs, 0);
        return removed;
    }
}
