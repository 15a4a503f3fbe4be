import type { LogFields, Logger } from "./logger.js";

/** What must always hold; docs/design.md, section 2, says it in full. */
const INVARIANTS = {
    I1: "guaranteeReclaimable",
    I2: "gangComplete",
    I3: "answerOfOwnRequest",
    I4: "notRunMeansNotRun",
    I5: "nonIdempotentAtMostOnce",
    I6: "leavingGetsNoWork",
    I7: "shutdownCutsNothing",
    I8: "configurationNeverReverts",
} as const;

/** Ids of the invariants. */
export type InvariantId = keyof typeof INVARIANTS;

const NO_BREACHES: Readonly<Record<InvariantId, number>> = { I1: 0, I2: 0, I3: 0, I4: 0, I5: 0, I6: 0, I7: 0, I8: 0 };

/** Counts breaches of the invariants in this process, and logs a line for each. */
export class InvariantMonitor {
    private readonly breaches = { ...NO_BREACHES };

    constructor(private readonly logger: Logger) {}

    /** Breaches since the process started. */
    get counts(): Readonly<Record<InvariantId, number>> {
        return this.breaches;
    }

    /** Counts a breach. */
    report(id: InvariantId, fields: LogFields): void {
        this.breaches[id] += 1;
        this.logger.log("error", "invariant.breached", { invariant: id, name: INVARIANTS[id], ...fields });
    }
}
