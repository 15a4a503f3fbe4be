import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { ParamsOf } from "@persimmonpitch/protocol/method.js";
import type { OrderMethods, TaskReport } from "@persimmonpitch/protocol/taskMessages.js";
import type { Attempt, GangMember, JobOutcome } from "@persimmonpitch/schema/job.js";
import { isTerminal } from "@persimmonpitch/schema/job.js";
import { randomUUID } from "node:crypto";
import type { BookedJob } from "./jobBook.js";
import type { RoleContext } from "./roleContext.js";
import { epochCheckOf } from "./roleContext.js";
import { commitUntilSettled } from "./settledCommit.js";

/** Time for which an unused reservation is held; it outlasts the claim's write. */
const RESERVATION_MS: Millis = 10_000;
const ORDER_TIMEOUT_MS: Millis = 5_000;

/** Lease of an agent's tasks, and the margin for clocks that run at different speeds. */
export const AGENT_LEASE_MS: Millis = 15_000;
const DRIFT_FACTOR = 1.25;

/** Interval at which a running attempt looks for members whose lease has lapsed. */
const LOSS_CHECK_MS: Millis = 1_000;

/** Interval at which members that still run are told again to stop. */
const STOP_RETRY_MS: Millis = 5_000;

/** A job whose gang could not start is not tried again at once, so that a faulty VM causes no busy loop. */
const RETRY_DELAY_MS: Millis = 500;

/** A report that comes so long after the start and does not show the task proves that the agent lost it. */
const VISIBLE_MS: Millis = 7_000;

const NOBODY: ReadonlySet<string> = new Set();

type MemberState = "running" | "finished" | "failed" | "stopped" | "lost" | "neverStarted";

interface MemberView {
    readonly member: GangMember;
    readonly state: MemberState;
    readonly task: TaskReport | undefined;
}

const ENDED: Readonly<Record<MemberState, boolean>> = {
    running: false,
    finished: true,
    failed: true,
    stopped: true,
    lost: true,
    neverStarted: true,
};

const AGENT_STATES: Readonly<Record<TaskReport["state"], MemberState>> = {
    reserved: "running",
    running: "running",
    stopping: "running",
    stopped: "stopped",
    finished: "finished",
    failed: "failed",
};

/** Runs one attempt of a job from the reservation of its gang to its end. */
export const runAttempt = async (
    context: RoleContext,
    job: BookedJob,
    members: readonly GangMember[],
): Promise<void> => {
    const attempt = attemptOf(context, job, members);
    job.members = members;
    job.startedAt = context.clock.wallTime();
    const reserved = await reserveAll(context, job, attempt);
    if (!reserved || !await claim(context, job, attempt)) {
        await stopAll(context, attempt, false, 0);
        backToQueue(context, job);
        return;
    }
    context.logger.log("info", "attempt.claimed", { job: job.stored.record.jobId, attempt: attempt.attemptId });
    const started = await startAll(context, job, attempt);
    const neverStarted = started ? NOBODY : await stopAll(context, attempt, false, 0);
    await superviseAttempt(context, job, attempt, neverStarted);
};

/**
 * Follows an attempt until every member has ended, and writes down what became of the job.
 * `neverStarted` names VMs whose agents confirmed that the attempt never started there and never will.
 */
export const superviseAttempt = async (
    context: RoleContext,
    job: BookedJob,
    attempt: Attempt,
    neverStarted: ReadonlySet<string> = NOBODY,
): Promise<void> => {
    const since = context.clock.now();
    const stopper = new MemberStopper(context, job, attempt);
    let views = viewMembers(context, attempt, neverStarted, since);
    while (!context.role.isLost) {
        views = viewMembers(context, attempt, neverStarted, since);
        if (views.every(({ state }) => ENDED[state])) {
            break;
        }
        if (job.stopReason !== undefined || views.some(({ state }) => ENDED[state] && state !== "finished")) {
            stopper.stop(views);
        }
        await job.wake.wait(context.clock, LOSS_CHECK_MS);
    }
    if (!context.role.isLost) {
        await concludeAttempt(context, job, views);
        await forgetAll(context, attempt);
    }
};

/** Stops the members of an attempt that still run, again and again until the last has ended. */
class MemberStopper {
    private firstAt: Millis | undefined;
    private lastAt = -Infinity;
    private isReported = false;

    constructor(
        private readonly context: RoleContext,
        private readonly job: BookedJob,
        private readonly attempt: Attempt,
    ) {}

    stop(views: readonly MemberView[]): void {
        const { clock, role } = this.context;
        const now = clock.now();
        this.firstAt ??= now;
        this.reportPartialGang(views, now - this.firstAt);
        // An order can be lost with the connection that carried it, so it is repeated.
        if (!role.mayAct() || now - this.lastAt < STOP_RETRY_MS) {
            return;
        }
        this.lastAt = now;
        const running = views.filter(({ state }) => state === "running").map(({ member }) => member);
        const { checkpointable } = this.job.stored.record.spec;
        void stopAll(this.context, { ...this.attempt, members: running }, checkpointable, graceOf(this.context))
            .then(() => {
                this.job.wake.wake();
            });
    }

    private reportPartialGang(views: readonly MemberView[], stoppingMs: Millis): void {
        const ended = views.filter(({ state }) => ENDED[state] && state !== "finished").length;
        if (
            !this.isReported && ended > 0
            && stoppingMs > AGENT_LEASE_MS * DRIFT_FACTOR + graceOf(this.context) + STOP_RETRY_MS
        ) {
            this.isReported = true;
            const { jobId } = this.job.stored.record;
            this.context.monitor.report("I2", { job: jobId, ended, members: views.length, stoppingMs });
        }
    }
}

const attemptOf = (context: RoleContext, job: BookedJob, members: readonly GangMember[]): Attempt => {
    const { jobId, attempts } = job.stored.record;
    // The random part keeps apart the ids of two holders, and of two reservations before one claim.
    return {
        attemptId: `${jobId}.${attempts + 1}.${randomUUID().slice(0, 8)}`,
        epoch: context.role.epoch,
        claimedAt: context.clock.wallTime(),
        members: [...members],
    };
};

const order = <Name extends keyof OrderMethods>(
    context: RoleContext,
    vmId: string,
    name: Name,
    params: ParamsOf<OrderMethods[Name]>,
    timeoutMs: Millis = ORDER_TIMEOUT_MS,
) => context.gateway.order(vmId, name, params, timeoutMs);

const reserveAll = async (context: RoleContext, job: BookedJob, attempt: Attempt): Promise<boolean> => {
    const { jobId, spec } = job.stored.record;
    const answers = await Promise.all(attempt.members.map(async ({ vmId, accelerators }) => {
        const answer = await order(context, vmId, "task.reserve", {
            epoch: context.role.epoch,
            attemptId: attempt.attemptId,
            jobId,
            accelerators,
            cores: spec.gang.coresPerVm,
            memoryMb: spec.gang.memoryMbPerVm,
            spansVms: attempt.members.length > 1,
            timeToLiveMs: RESERVATION_MS,
        });
        if (answer.isErr || answer.value.kind === "refused") {
            const reason = answer.isErr
                ? answer.error.kind
                : answer.value.kind === "refused"
                ? answer.value.reason
                : "";
            context.logger.log("info", "reservation.refused", { job: jobId, vm: vmId, reason });
            return false;
        }
        return true;
    }));
    return answers.every(isReserved => isReserved);
};

const claim = async (context: RoleContext, job: BookedJob, attempt: Attempt): Promise<boolean> => {
    const sentAt = context.clock.now();
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
        // A claim that took longer than the reservations last must not be followed by a start.
        return context.clock.now() - sentAt < RESERVATION_MS;
    }
    const { kind } = claimed.error;
    context.logger.log("info", "claim.failed", { job: job.stored.record.jobId, kind });
    if (kind === "conflict" || kind === "unclear") {
        await refresh(context, job);
        return job.stored.record.attempt?.attemptId === attempt.attemptId;
    }
    return false;
};

const startAll = async (context: RoleContext, job: BookedJob, attempt: Attempt): Promise<boolean> => {
    if (!context.role.mayAct()) {
        return false;
    }
    const { spec, checkpoint } = job.stored.record;
    const resume = checkpoint === undefined ? {} : { checkpoint };
    const answers = await Promise.all(attempt.members.map(async ({ vmId }) => {
        const answer = await order(context, vmId, "task.start", {
            epoch: context.role.epoch,
            attemptId: attempt.attemptId,
            payload: spec.payload,
            ...resume,
        });
        return answer.isOk && answer.value.kind === "started";
    }));
    return answers.every(isStarted => isStarted);
};

const stopAll = async (
    context: RoleContext,
    attempt: Attempt,
    checkpoint: boolean,
    graceMs: Millis,
): Promise<ReadonlySet<string>> => {
    const { epoch } = context.role;
    const { attemptId, members } = attempt;
    const timeoutMs = graceMs + ORDER_TIMEOUT_MS;
    const answers = await Promise.all(members.map(async ({ vmId }) => {
        const answer = await order(context, vmId, "task.stop", { epoch, attemptId, checkpoint, graceMs }, timeoutMs);
        return answer.isOk && answer.value.kind === "neverStarted" ? vmId : undefined;
    }));
    return new Set(answers.filter(vmId => vmId !== undefined));
};

const forgetAll = async (context: RoleContext, { members, attemptId }: Attempt): Promise<void> => {
    const { epoch } = context.role;
    await Promise.all(
        members.map(({ vmId }) => order(context, vmId, "task.forget", { epoch, attemptIds: [attemptId] })),
    );
};

const graceOf = (context: RoleContext): Millis => context.configuration()?.body.rules.preemptionGraceMs ?? 0;

const backToQueue = (context: RoleContext, job: BookedJob): void => {
    job.members = undefined;
    if (isTerminal(job.stored.record.state)) {
        context.book.remove(job.stored.record.jobId);
        return;
    }
    job.stopReason = job.stored.record.cancelRequested ? "cancelled" : undefined;
    job.notBefore = context.clock.now() + RETRY_DELAY_MS;
    context.wake.wake();
};

/** Reads the row again after a conflict: a caller may have asked for cancellation. */
const refresh = async (context: RoleContext, job: BookedJob): Promise<void> => {
    const read = await context.store.read(job.stored.record.jobId);
    if (read.isOk && read.value !== undefined) {
        job.stored = read.value;
        job.stopReason = read.value.record.cancelRequested ? "cancelled" : job.stopReason;
    }
};

const viewMembers = (
    context: RoleContext,
    attempt: Attempt,
    neverStarted: ReadonlySet<string>,
    since: Millis,
): readonly MemberView[] =>
    attempt.members.map(member => {
        if (neverStarted.has(member.vmId)) {
            return { member, task: undefined, state: "neverStarted" };
        }
        const agent = context.gateway.worker(member.vmId);
        const task = agent?.tasks.get(attempt.attemptId);
        if (task !== undefined && AGENT_STATES[task.state] !== "running") {
            return { member, task, state: AGENT_STATES[task.state] };
        }
        const lastContactAt = Math.max(agent?.lastReportAt ?? 0, context.heldSince);
        const isLapsed = context.clock.now() - lastContactAt > AGENT_LEASE_MS * DRIFT_FACTOR;
        const isForgotten = agent?.connected === true && task === undefined && agent.lastReportAt - since > VISIBLE_MS;
        return { member, task, state: isLapsed || isForgotten ? "lost" : "running" };
    });

const concludeAttempt = async (
    context: RoleContext,
    job: BookedJob,
    views: readonly MemberView[],
): Promise<void> => {
    const outcome = outcomeOf(views);
    learnFrom(context, job, views, outcome);
    await CONCLUSIONS[outcome](context, job, views);
    context.onJobChanged(job.stored.record.jobId);
    context.wake.wake();
};

/** Remembers how long the job took and which workers fail their tasks. */
const learnFrom = (
    { clock, runTimes, workerHealth }: RoleContext,
    { stored, startedAt, savedProgress }: BookedJob,
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

type AttemptOutcome = Exclude<MemberState, "running">;

/** The worst of the members' states decides. */
const outcomeOf = (views: readonly MemberView[]): AttemptOutcome => {
    const states = new Set(views.map(({ state }) => state));
    const isUniform = states.size === 1;
    if (isUniform && states.has("finished")) {
        return "finished";
    }
    if (isUniform && states.has("neverStarted")) {
        return "neverStarted";
    }
    return states.has("failed") ? "failed" : states.has("lost") ? "lost" : "stopped";
};

type Conclusion = (context: RoleContext, job: BookedJob, views: readonly MemberView[]) => Promise<void>;

const end = async (
    context: RoleContext,
    job: BookedJob,
    state: "finished" | "failed" | "cancelled",
    outcome: Omit<JobOutcome, "at">,
): Promise<void> => {
    await commitUntilSettled(
        context,
        job,
        stored => context.store.conclude(stored, state, outcome, epochCheckOf(context)),
    );
    context.book.remove(job.stored.record.jobId);
    context.logger.log("info", "job.ended", {
        job: job.stored.record.jobId,
        state,
        ran: outcome.ran,
        code: outcome.code,
    });
};

const requeue = async (
    context: RoleContext,
    job: BookedJob,
    views: readonly MemberView[],
    event: "preempted" | "requeued",
    detail: string,
    isNotRun = false,
): Promise<void> => {
    const checkpoint = views.map(({ task }) => task?.checkpoint).find(found => found !== undefined);
    const failedOn = views.filter(({ state }) => state === "failed").map(({ member }) => member.vmId);
    const change = { failedOn, isNotRun, ...(checkpoint === undefined ? {} : { checkpoint }) };
    const progress = Math.min(...views.map(({ task }) => task?.progress ?? 0));
    await commitUntilSettled(
        context,
        job,
        stored => context.store.requeue(stored, change, event, detail, epochCheckOf(context)),
    );
    job.savedProgress = checkpoint === undefined ? job.savedProgress : progress;
    context.logger.log("info", "job.requeued", { job: job.stored.record.jobId, detail });
    backToQueue(context, job);
};

/** Whether another attempt can do no harm after one that did not end by a stop of ours. */
const mayRunAgain = (job: BookedJob): boolean => job.stored.record.spec.idempotent;

const CONCLUSIONS: Readonly<Record<AttemptOutcome, Conclusion>> = {
    neverStarted: (context, job, views) =>
        job.stopReason === "cancelled"
            ? end(context, job, "cancelled", { ran: "no", code: "cancelled", detail: "Cancelled before the start." })
            : requeue(context, job, views, "requeued", "No member of the gang started.", true),
    finished: (context, job, views) => {
        const result = views.map(({ task }) => task?.result).find(found => found !== undefined);
        const outcome = {
            ran: "yes",
            code: "finished",
            detail: "",
            ...(result === undefined ? {} : { result }),
        } as const;
        return end(context, job, "finished", outcome);
    },
    failed: (context, job, views) => {
        const detail = views.map(({ task }) => task?.error).find(found => found !== undefined) ?? "A task failed.";
        if (job.stopReason === "cancelled") {
            return end(context, job, "cancelled", { ran: "yes", code: "cancelled", detail });
        }
        return mayRunAgain(job)
            ? requeue(context, job, views, "requeued", detail)
            : end(context, job, "failed", { ran: "yes", code: "taskFailed", detail });
    },
    lost: (context, job, views) => {
        const lost = views.filter(({ state }) => state === "lost").map(({ member }) => member.vmId).join(", ");
        const detail = `The lease of ${lost} lapsed.`;
        if (job.stopReason === "cancelled") {
            return end(context, job, "cancelled", { ran: "unknown", code: "cancelled", detail });
        }
        return mayRunAgain(job)
            ? requeue(context, job, views, "requeued", detail)
            : end(context, job, "failed", { ran: "unknown", code: "vmLost", detail });
    },
    stopped: (context, job, views) => {
        const hasCheckpoint = views.every(({ task }) => task?.checkpoint !== undefined);
        if (job.stopReason === "cancelled") {
            return end(context, job, "cancelled", {
                ran: "yes",
                code: "cancelled",
                detail: "Cancelled while running.",
            });
        }
        return mayRunAgain(job) || hasCheckpoint
            ? requeue(context, job, views, "preempted", "Stopped to give its accelerators back.")
            : end(context, job, "failed", { ran: "unknown", code: "stopped", detail: "Stopped without a checkpoint." });
    },
};
