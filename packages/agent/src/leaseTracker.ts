import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { LeaseGrant } from "@persimmonpitch/protocol/agentMessages.js";

/** The lease that covers all tasks of an agent, and the highest epoch of the scheduling role that it has seen. */
export class LeaseTracker {
    private expiresAt: Millis;
    private epoch = 0;
    private hadGrant = false;

    constructor(private readonly clock: Clock) {
        this.expiresAt = clock.now();
    }

    get highestEpoch(): number {
        return this.epoch;
    }

    /** Raises the highest epoch; returns false for an epoch that a newer one has superseded. */
    acceptEpoch(epoch: number): boolean {
        if (epoch < this.epoch) {
            return false;
        }
        this.epoch = epoch;
        return true;
    }

    /** Extends the lease, counted from when the call was sent, so that a slow answer never lengthens it. */
    applyGrant(grant: LeaseGrant, sentAt: Millis): void {
        if (this.acceptEpoch(grant.epoch)) {
            this.expiresAt = Math.max(this.expiresAt, sentAt + grant.grantMs);
            this.hadGrant ||= grant.grantMs > 0;
        }
    }

    /**
     * Whether a lease was held and has expired. False for an agent that has just started and holds no lease yet: the
     * tasks that it adopted are bounded by their leases at the worker.
     */
    get isExpired(): boolean {
        return this.hadGrant && this.remainingMs() === 0;
    }

    /** Time until the lease expires; 0 once it has expired. */
    remainingMs(): Millis {
        return Math.max(0, this.expiresAt - this.clock.now());
    }
}
