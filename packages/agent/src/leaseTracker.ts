import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { LeaseGrant } from "@persimmonpitch/protocol/agentMessages.js";

/** The lease of all tasks of an agent, and the highest epoch it has seen. */
export class LeaseTracker {
    private deadline: Millis;
    private epoch = 0;
    private isGranted = false;

    constructor(private readonly clock: Clock) {
        this.deadline = clock.now();
    }

    get highestEpoch(): number {
        return this.epoch;
    }

    /** Raises the epoch; returns false for an epoch that has been superseded. */
    acceptEpoch(epoch: number): boolean {
        if (epoch < this.epoch) {
            return false;
        }
        this.epoch = epoch;
        return true;
    }

    /** Takes a grant; it counts from when the call was sent, so that a slow answer never lengthens it. */
    accept(grant: LeaseGrant, sentAt: Millis): void {
        if (this.acceptEpoch(grant.epoch)) {
            this.deadline = Math.max(this.deadline, sentAt + grant.grantMs);
            this.isGranted ||= grant.grantMs > 0;
        }
    }

    /**
     * Whether a lease was held and has run out. An agent that has just started holds none yet; the tasks it took
     * over are bounded by the leases that the worker gave them.
     */
    get isLapsed(): boolean {
        return this.isGranted && this.remaining() === 0;
    }

    /** Time left; 0 once the lease has lapsed. */
    remaining(): Millis {
        return Math.max(0, this.deadline - this.clock.now());
    }
}
