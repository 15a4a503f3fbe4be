import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { ExecutorState } from "./executorState.js";
import type { Fleet } from "./fleet.js";
import { authorityEnd, GRANT_VALIDITY_MS } from "./leaseRules.js";

/** What was known when a renewal of the term was sent. */
export interface TermRenewal {
    readonly sentAt: Millis;
    /** For each executor the end of the authority on its clock, and the incarnation that this is for. */
    readonly ends: ReadonlyMap<ExecutorState, { readonly born: number; readonly endMs: number; }>;
}

/**
 * How long orders may still be given after the term was renewed. A successor that cannot reach an executor waits for
 * it from the end of this time on, so an order that is carried out later could run beside the successor's.
 */
export class Authority {
    private renewedAt: Millis;

    constructor(private readonly clock: Clock, takenAt: Millis, private readonly fleet: Fleet) {
        this.renewedAt = takenAt;
    }

    /** Whether the last renewal that succeeded was sent lately, on our clock. */
    get isFresh(): boolean {
        return this.clock.now() - this.renewedAt < GRANT_VALIDITY_MS;
    }

    /**
     * Notes the end of the authority on each executor's clock before a renewal is sent. A clock that is read later
     * would not do: our own clock may stand still between the two, while this machine is suspended.
     */
    beginRenewal(): TermRenewal {
        const sentAt = this.clock.now();
        const ends = [...this.fleet.executors.values()].flatMap(state =>
            state.clock === undefined
                ? []
                : [[state, { born: state.born, endMs: authorityEnd(sentAt, state.clock) }] as const]
        );
        return { sentAt, ends: new Map(ends) };
    }

    /** The renewal has succeeded. */
    renew({ sentAt, ends }: TermRenewal): void {
        this.renewedAt = sentAt;
        for (const [state, { born, endMs }] of ends) {
            if (state.born === born) {
                state.authorityEndMs = endMs;
            }
        }
    }
}
