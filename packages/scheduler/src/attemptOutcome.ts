import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { JobOutcome } from "@persimmonpitch/schema/job.js";
import { isTerminal } from "@persimmonpitch/schema/job.js";
import type { ActiveJob } from "./activeJobs.js";
import { commitWithRetry } from "./commitWithRetry.js";
import type { AttemptOutcome, MemberView } from "./memberView.js";
import { attemptOutcomeOf } from "./memberView.js";
import type { RoleContext } from "./roleContext.js";
import { epochCheckOf } from "./roleContext.js";

/** Delay before a requeued job may be placed again, so that a faulty VM does not cause a busy loop. */
const REQUEUE_DELAY_MS: Millis = 500;

/** Marks a job as queued again, or removes it from memory if a cancellation has ended it. */
export const returnToQueue = (context: RoleContext, job: ActiveJob): void => {
    job.members = undefined;
    if (isTerminal(job.stored.record.state)) {
        context.activeJobs.remove(job.stored.record.jobId);
        return;
    }
    job.stopReason = job.stored.record.cancelRequested ? "cancelled" : undefined;
    job.notBefore = context.clock.now() + REQUEUE_DELAY_MS;
    context.wakeSignal.wake();
};

/** Records the outcome of an attempt: ends the job or returns it to the queue. */
export const recordAttemptOutcome = async (
    context: RoleContext,
    job: ActiveJob,
    views: readonly MemberView[],
): Promise<void> => {
    const outcome = attemptOutcomeOf(views);
    updateStatistics(context, job, views, outcome);
    await OUTCOME_HANDLERS[outcome](context, job, views);
    context.onJobChanged(job.stored.record.jobId);
    context.wakeSignal.wake();
};

/** Updates the run time estimates and the failure counts of workers. */
const updateStatistics = (
    { clock, runTimes, workerHealth }: RoleContext,
    { stored, startedAt, savedProgress }: ActiveJob,
    views: readonly MemberView[],
    outcome: AttemptOutcome,
): void => {
    const { jobId, spec } = stored.record;
    views.forEach(({ member, state }) => {
        if (state === "finished") {
            workerHealth.taskSucceeded(member.vmId);
        }
        else if (state === "failed") {
            workerHealth.taskFailed(member.vmId, jobId);
        }
    });
    if (outcome === "finished" && savedProgress === 0) {
        runTimes.observe(spec, clock.wallTime() - startedAt);
    }
};

type OutcomeHandler = (context: RoleContext, job: ActiveJob, views: readonly MemberView[]) => Promise<void>;

const endJob = async (
    context: RoleContext,
    job: ActiveJob,
    state: "finished" | "failed" | "cancelled",
    outcome: Omit<JobOutcome, "at">,
): Promise<void> => {
    await commitWithRetry(
        context,
        job,
        stored => context.store.recordOutcome(stored, state, outcome, epochCheckOf(context)),
    );
    context.activeJobs.remove(job.stored.record.jobId);
    context.logger.log("info", "job.ended", {
        job: job.stored.record.jobId,
        state,
        ran: outcome.ran,
        code: outcome.code,
    });
};

const requeue = async (
    context: RoleContext,
    job: ActiveJob,
    views: readonly MemberView[],
    event: "preempted" | "requeued",
    detail: string,
    isNotRun = false,
): Promise<void> => {
    const checkpoint = views.map(({ task }) => task?.checkpoint).find(found => found !== undefined);
    const failedOn = views.filter(({ state }) => state === "failed").map(({ member }) => member.vmId);
    const change = { failedOn, isNotRun, ...(checkpoint === undefined ? {} : { checkpoint }) };
    const progress = Math.min(...views.map(({ task }) => task?.progress ?? 0));
    await commitWithRetry(
        context,
        job,
        stored => context.store.requeue(stored, change, event, detail, epochCheckOf(context)),
    );
    job.savedProgress = checkpoint === undefined ? job.savedProgress : progress;
    context.logger.log("info", "job.requeued", { job: job.stored.record.jobId, detail });
    returnToQueue(context, job);
};

/** Whether an attempt before the current one, which never started, may have run. */
const priorAttemptsRan = (job: ActiveJob): "no" | "unknown" => job.stored.record.attempts <= 1 ? "no" : "unknown";

/** Whether a retry is safe although the previous attempt may already have had effects. */
const isSafeToRetry = (job: ActiveJob): boolean => job.stored.record.spec.idempotent;

const OUTCOME_HANDLERS: Readonly<Record<AttemptOutcome, OutcomeHandler>> = {
    neverStarted: (context, job, views) =>
        job.stopReason === "cancelled"
            ? endJob(context, job, "cancelled", {
                ran: priorAttemptsRan(job),
                code: "cancelled",
                detail: "Cancelled before the start.",
            })
            : requeue(context, job, views, "requeued", "No member of the gang started.", true),
    finished: (context, job, views) => {
        const result = views.map(({ task }) => task?.result).find(found => found !== undefined);
        const outcome = {
            ran: "yes",
            code: "finished",
            detail: "",
            ...(result === undefined ? {} : { result }),
        } as const;
        return endJob(context, job, "finished", outcome);
    },
    failed: (context, job, views) => {
        const detail = views.map(({ task }) => task?.error).find(found => found !== undefined) ?? "A task failed.";
        if (job.stopReason === "cancelled") {
            return endJob(context, job, "cancelled", { ran: "yes", code: "cancelled", detail });
        }
        return isSafeToRetry(job)
            ? requeue(context, job, views, "requeued", detail)
            : endJob(context, job, "failed", { ran: "yes", code: "taskFailed", detail });
    },
    lost: (context, job, views) => {
        const lost = views.filter(({ state }) => state === "lost").map(({ member }) => member.vmId).join(", ");
        const detail = `The lease of ${lost} lapsed.`;
        if (job.stopReason === "cancelled") {
            return endJob(context, job, "cancelled", { ran: "unknown", code: "cancelled", detail });
        }
        return isSafeToRetry(job)
            ? requeue(context, job, views, "requeued", detail)
            : endJob(context, job, "failed", { ran: "unknown", code: "vmLost", detail });
    },
    stopped: (context, job, views) => {
        const hasCheckpoint = views.every(({ task }) => task?.checkpoint !== undefined);
        if (job.stopReason === "cancelled") {
            return endJob(context, job, "cancelled", {
                ran: "yes",
                code: "cancelled",
                detail: "Cancelled while running.",
            });
        }
        return isSafeToRetry(job) || hasCheckpoint
            ? requeue(context, job, views, "preempted", "Stopped to give its accelerators back.")
            : endJob(context, job, "failed", {
                ran: "unknown",
                code: "stopped",
                detail: "Stopped without a checkpoint.",
            });
    },
};
