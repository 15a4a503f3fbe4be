import type { Guards } from "./guards.js";
import type { InvariantName } from "./modelInvariants.js";
import { LEASE_TICKS } from "./modelState.js";
import type { BrokenRuleOf } from "./protocolSpecification.js";
import type { ScopeName } from "./scopes.js";

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
        violates: "concludedIsStopped",
        scope: "gang",
        guards: { mayStart: ({ lease }) => lease > 0 },
    },
    retryAfterUnclear: {
        description: "A non-idempotent job runs again after an unclear outcome.",
        violates: "startedAtMostOnce",
        scope: "role",
        guards: { mayRunAgain: () => true },
    },
    neverStartedOfNewInstance: {
        description: "An agent that was replaced may answer that an attempt never started.",
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
    startWithoutClaim: {
        description: "An idempotent job starts in an outage, and its claim is written with its outcome.",
        violates: "notRunNeverStarted",
        scope: "outage",
        guards: { mayStartWithoutClaim: true },
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
} as const satisfies Readonly<Record<string, BrokenRuleOf<InvariantName, ScopeName, Guards>>>;
export type BrokenRuleName = keyof typeof BROKEN_RULES;
