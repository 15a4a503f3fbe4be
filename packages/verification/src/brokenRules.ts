import type { Guards } from "./guards.js";
import { GUARDS } from "./guards.js";
import type { InvariantName } from "./modelInvariants.js";
import type { Bounds } from "./modelState.js";
import { LEASE_TICKS } from "./modelState.js";
import type { Model } from "./rule.js";
import type { ScopeName } from "./scopes.js";

/** A rule that is wrong on purpose, and the invariant that shows it. */
interface BrokenRule {
    readonly description: string;
    readonly violates: InvariantName;
    /** Scope in which the counterexample is found. */
    readonly scope: ScopeName;
    readonly guards: Partial<Guards>;
}

/** One fault of the protocol each; the exploration has to find a counterexample to every one. */
export const BROKEN_RULES = {
    claimWithoutEpochCheck: {
        description: "A holder's writes depend on the job's row only.",
        violates: "startedAtMostOnce",
        scope: "role",
        guards: { passesEpochCheck: () => true },
    },
    agentWithoutFencing: {
        description: "Agents take orders of any epoch.",
        violates: "staleOrderIgnored",
        scope: "role",
        guards: { acceptsEpoch: () => true },
    },
    reserveWithoutCapacityCheck: {
        description: "Agents reserve accelerators that are taken.",
        violates: "acceleratorHeldOnce",
        scope: "contention",
        guards: { hasCapacity: () => true },
    },
    startWithoutReservation: {
        description: "Agents start what they hold no reservation for.",
        violates: "notRunNeverStarted",
        scope: "gang",
        guards: { mayStart: ({ lease }) => lease > 0 },
    },
    retryAfterUnclear: {
        description: "A non-idempotent job runs again after an unclear outcome.",
        violates: "startedAtMostOnce",
        scope: "gang",
        guards: { mayRunAgain: () => true },
    },
    neverStartedOfNewInstance: {
        description: "An agent that restarted may answer that an attempt never started.",
        violates: "notRunNeverStarted",
        scope: "gang",
        guards: { provesNeverStarted: () => true },
    },
    cancelWithoutCompare: {
        description: "A cancellation writes over whatever the row has become.",
        violates: "oneEndWins",
        scope: "gang",
        guards: { mayCancel: () => true },
    },
    finishOverCancelled: {
        description: "A holder writes the outcome of a deferred claim to a row that has ended.",
        violates: "oneEndWins",
        scope: "outage",
        guards: { mayConclude: ({ attempt }, { id, deferred }) => attempt === id || deferred },
    },
    notRunByQueuedRow: {
        description: "A queued row without attempts counts as proof that the job did not run.",
        violates: "notRunNeverStarted",
        scope: "outage",
        guards: { toldForQueued: ({ attempts }) => attempts === 0 ? "no" : "unknown" },
    },
    leaseFromReceipt: {
        description: "Agents count a lease from the receipt of the grant.",
        violates: "concludedIsStopped",
        scope: "lease",
        guards: { leaseOf: () => LEASE_TICKS },
    },
    gangGoesOnWithoutLease: {
        description: "Agents let members of gangs run on after their lease.",
        violates: "partialGangEnds",
        scope: "lease",
        guards: { stopsAtLapse: false },
    },
    acceptBeforeWrite: {
        description: "A job is accepted in an outage without a row.",
        violates: "acceptedIsKept",
        scope: "configuration",
        guards: { mayAnswerAccepted: () => true },
    },
    configWithoutVersionCheck: {
        description: "Processes take any configuration that arrives.",
        violates: "configNeverFalls",
        scope: "configuration",
        guards: { acceptsConfig: () => true },
    },
} as const satisfies Readonly<Record<string, BrokenRule>>;
export type BrokenRuleName = keyof typeof BROKEN_RULES;

export const isBrokenRule = (name: string): name is BrokenRuleName => Object.hasOwn(BROKEN_RULES, name);

/** The model with all rules right, or with one broken. */
export const modelOf = (broken: BrokenRuleName | undefined, bounds: Bounds): Model => ({
    bounds,
    guards: { ...GUARDS, ...(broken === undefined ? {} : BROKEN_RULES[broken].guards) },
});
