import { backoffDelay } from "@persimmonpitch/clock/backoff.js";
import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { Attempt, GangMember } from "@persimmonpitch/schema/job.js";
import { randomUUID } from "node:crypto";
import type { ActiveJob } from "./activeJobs.js";
import { recordAttemptOutcome, returnToQueue } from "./attemptOutcome.js";
import { forgetAttempt, reserveMembers, startMembers, stopMembers } from "./gangOrders.js";
import { MemberStopper } from "./memberStopper.js";
import { buildMemberViews, hasEnded } from "./memberView.js";
import type { RoleContext } from "./roleContext.js";
import { epochCheckOf } from "./roleContext.js";

/** Interval at which a running attempt checks its members for expired agent leases. */
const LEASE_CHECK_INTERVAL_MS: Millis = 1_000;

const READ_BACKOFF = { baseMs: 100, maxMs: 5_000 };

const NO_VMS: ReadonlySet<string> = new Set();

/** Runs one attempt of a job, from the reservation of its gang until its outcome is recorded. */
export const runAttempt = async (
    context: RoleContext,
    job: ActiveJob,
    members: readonly GangMember[],
): Promise<void> => {
    const attempt = createAttempt(context, job, members);
    job.members = members;
    job.startedAt = context.clock.wallTime();
    const { isComplete, instances } = await reserveMembers(context, job, attempt);
    const isClaimed = isComplete && await claimAttempt(context, job, attempt);
    if (!isClaimed) {
        const neverStarted = await stopMembers(context, attempt, false, 0, instances);
        await resolveUnconfirmedClaim(context, job, attempt, neverStarted);
        return;
    }
    context.logger.log("info", "attempt.claimed", { job: job.stored.record.jobId, attempt: attempt.attemptId });
    const isStarted = await startMembers(context, job, attempt);
    const neverStarted = isStarted ? NO_VMS : await stopMembers(context, attempt, false, 0, instances);
    await superviseAttempt(context, job, attempt, neverStarted);
};

/**
 * Supervises an attempt until every member has ended, then records the outcome.
 * `neverStarted` lists the VMs whose agents confirmed that the attempt has not started there and never will.
 */
export const superviseAttempt = async (
    context: RoleContext,
    job: ActiveJob,
    attempt: Attempt,
    neverStarted: ReadonlySet<string> = NO_VMS,
): Promise<void> => {
    const supervisedSince = context.clock.now();
    const stopper = new MemberStopper(context, job, attempt);
    let views = buildMemberViews(context, attempt, neverStarted, supervisedSince);
    while (!context.role.isLost) {
        views = buildMemberViews(context, attempt, neverStarted, supervisedSince);
        if (views.every(({ state }) => hasEnded(state))) {
            break;
        }
        if (job.stopReason !== undefined || views.some(({ state }) => hasEnded(state) && state !== "finished")) {
            stopper.stopRunningMembers(views);
        }
        await job.wakeSignal.wait(context.clock, LEASE_CHECK_INTERVAL_MS);
    }
    if (!context.role.isLost) {
        await recordAttemptOutcome(context, job, views);
        await forgetAttempt(context, attempt);
    }
};

const createAttempt = (context: RoleContext, job: ActiveJob, members: readonly GangMember[]): Attempt => {
    const { jobId, attempts } = job.stored.record;
    // The random suffix distinguishes attempts of two holders, and repeated reservations before one claim.
    return {
        attemptId: `${jobId}.${attempts + 1}.${randomUUID().slice(0, 8)}`,
        epoch: context.role.epoch,
        claimedAt: context.clock.wallTime(),
        members: [...members],
    };
};

/** Records the attempt before any task starts; agents refuse a start if the reservation has expired by then. */
const claimAttempt = async (context: RoleContext, job: ActiveJob, attempt: Attempt): Promise<boolean> => {
    if (!context.role.mayAct() || job.stopReason !== undefined) {
        return false;
    }
    const { spec, attempts, checkpoint, jobId } = job.stored.record;
    if (!spec.idempotent && attempts > 0 && checkpoint === undefined) {
        context.monitor.report("I5", { job: jobId, attempts });
        return false;
    }
    const claimed = await context.store.claim(job.stored, attempt, epochCheckOf(context));
    if (claimed.isOk) {
        job.stored = claimed.value;
        return true;
    }
    const { kind } = claimed.error;
    context.logger.log("info", "claim.failed", { job: jobId, kind });
    job.isRowPossiblyStale = kind !== "unavailable";
    return false;
};

/**
 * Returns a job to the queue after a claim that was not confirmed. A claim without a response may have taken effect;
 * if the row shows a running attempt, that attempt is supervised instead.
 */
const resolveUnconfirmedClaim = async (
    context: RoleContext,
    job: ActiveJob,
    attempt: Attempt,
    neverStarted: ReadonlySet<string>,
): Promise<void> => {
    for (let failures = 0; job.isRowPossiblyStale && !context.role.isLost; failures += 1) {
        const read = await context.store.read(job.stored.record.jobId);
        if (read.isOk && read.value !== undefined) {
            job.stored = read.value;
            job.isRowPossiblyStale = false;
        }
        else {
            await context.clock.sleep(backoffDelay(READ_BACKOFF, failures, context.random));
        }
    }
    const { state, attempt: claimed } = job.stored.record;
    if (state === "running" && claimed !== undefined && !context.role.isLost) {
        job.members = claimed.members;
        job.stopReason = job.stored.record.cancelRequested ? "cancelled" : job.stopReason;
        const isThisAttempt = claimed.attemptId === attempt.attemptId;
        await superviseAttempt(context, job, claimed, isThisAttempt ? neverStarted : NO_VMS);
        return;
    }
    returnToQueue(context, job);
};
