import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { Finding } from "@persimmonpitch/findings/finding.js";
import { checkInvariants } from "@persimmonpitch/history/invariants.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { FaultName } from "./faults.js";
import { FAULTS } from "./faults.js";
import { InProcessDeployment } from "./inProcessDeployment.js";
import { createSmallBody } from "./smallBody.js";
import { Workload } from "./workload.js";

/** How a run under faults ended. */
export interface FaultRun {
    readonly summary: readonly string[];
    readonly findings: readonly Finding[];
}

/** What a run under faults varies. */
export interface FaultRunOptions {
    readonly faults: readonly FaultName[];
    /** Time between the submission of the jobs and the first fault. */
    readonly delayMs: Millis;
    readonly random: () => number;
    readonly logger?: Logger;
}

/**
 * A lost member is noticed once its agent's lease (15 s) with the drift margin (25%) has lapsed, at a check every
 * second; the others then stop within the grace (2 s). The rest is one poll of the worker.
 */
const PARTIAL_GANG_BOUND_MS: Millis = 15_000 * 1.25 + 1_000 + 2_000 + 1_000;

/** A new holder takes the role after its term (4 s) with the drift margin and counts the leases anew from then. */
const ROLE_CHANGE_MS: Millis = 4_000 * 1.25 + 1_000;

const FINISH_MS: Millis = 400_000;
const ENTRY_IDS = ["entry-1", "entry-2"];

/** Runs the workload under faults, one after another, and checks all invariants at the end. */
export const runUnderFaults = async ({ faults, delayMs, random, logger }: FaultRunOptions): Promise<FaultRun> => {
    const logged = logger === undefined ? {} : { logger };
    const deployment = new InProcessDeployment({ body: createSmallBody(), entryIds: ENTRY_IDS, random, ...logged });
    await deployment.start();
    const workload = new Workload(deployment);
    await workload.submitJobs();
    await workload.sendRequests();
    await deployment.clock.advance(delayMs);
    for (const name of faults) {
        await FAULTS[name].run(deployment, workload);
    }
    await deployment.clock.advance(1_000);
    await workload.sendRequests();
    await workload.finish(FINISH_MS);
    const roleChanges = faults.filter(name => FAULTS[name].changesRole).length;
    const findings = checkInvariants(workload.evidence(), {
        partialGangBoundMs: PARTIAL_GANG_BOUND_MS + roleChanges * ROLE_CHANGE_MS,
        allowOpen: false,
        observedUntil: deployment.clock.now(),
    });
    await deployment.stop();
    return { summary: workload.summary(), findings };
};
