import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { ClusterState } from "./clusterState.js";
import type { ExecutorState } from "./executorState.js";
import { CONTROLLER_LEASE_MS, controllerLeaseEnd } from "./leaseRules.js";

/** State captured when a term renewal was sent. */
export interface TermRenewal {
    readonly sentAt: Millis;
    /** Per executor: when the controller lease ends on its clock, and for which incarnation. */
    readonly leaseEnds: ReadonlyMap<ExecutorState, { readonly born: number; readonly endMs: number; }>;
}

/**
 * Limits how long the controller may send orders after a term renewal. A successor's wait for an unreachable executor
 * starts when this period ends, so a later order could run concurrently with the successor's.
 */
export class ControllerLease {
    private renewedAt: Millis;

    constructor(private readonly clock: Clock, takenAt: Millis, private readonly cluster: ClusterState) {
        this.renewedAt = takenAt;
    }

    /** Whether the last successful renewal was sent recently enough, by the local clock. */
    get isValid(): boolean {
        return this.clock.now() - this.renewedAt < CONTROLLER_LEASE_MS;
    }

    /**
     * Computes the end of the controller lease on each executor's clock before the renewal is sent. A later clock reading
     * would be wrong: the local clock can stop between the two while the machine is suspended.
     */
    beginRenewal(): TermRenewal {
        const sentAt = this.clock.now();
        const leaseEnds = [...this.cluster.executors.values()].flatMap(state =>
            state.clock === undefined
                ? []
                : [[state, { born: state.born, endMs: controllerLeaseEnd(sentAt, state.clock) }] as const]
        );
        return { sentAt, leaseEnds: new Map(leaseEnds) };
    }

    /** Extends the controller lease after the renewal succeeded. */
    completeRenewal({ sentAt, leaseEnds }: TermRenewal): void {
        this.renewedAt = sentAt;
        for (const [state, { born, endMs }] of leaseEnds) {
            if (state.born === born) {
                state.controllerLeaseEndMs = endMs;
            }
        }
    }
}
