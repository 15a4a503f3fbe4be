import type { PreemptDecision, RefuseDecision, StartDecision } from "@persimmonpitch/placement/placementDecisions.js";
import type { ControlTraffic } from "./controlTraffic.js";
import { isWithinGuarantee } from "./guaranteeUse.js";
import type { HeadOfQueue } from "./headOfQueue.js";
import { ReplayError } from "./replayCluster.js";
import type { ReplayJob, StopReason } from "./replayJob.js";
import { acceptJob, isPreemptible, progressAt, queuedView, trueEnd } from "./replayJob.js";
import type { ReplayState } from "./replayState.js";
import type { TraceJob } from "./traceSchema.js";

/** Reserve, its answer, start, its answer. */
const GANG_START_DELAYS = 4;
/** Running jobs write a checkpoint this often; a lost VM costs the work since the last one. */
const CHECKPOINT_INTERVAL_MS = 10 * 60_000;
/** A failing worker, or a job that fails everywhere, shows it after this time. */
const FAILURE_AFTER_MS = 5_000;
/** Messages of a stop and of an end, with their answers. */
const STOP_MESSAGES = 2;
const END_MESSAGES = 2;

/** Takes jobs from their submission through their attempts to their end, and counts accelerator time. */
export class JobRuns {
    heldTime = 0;
    lostToPreemption = 0;
    lostToFaults = 0;

    constructor(
        private readonly state: ReplayState,
        private readonly heads: HeadOfQueue,
        private readonly traffic: ControlTraffic,
    ) {}

    submit(trace: TraceJob): void {
        if (this.state.isStoreDown) {
            // 503 with ran "no": the caller submits again when the store is back.
            this.state.refusedByStore.push(trace);
            return;
        }
        const job = acceptJob(trace, this.state.now, isWithinGuarantee(this.state, trace));
        this.state.jobs.set(trace.jobId, job);
        if (job.isWithinGuarantee) {
            this.state.guaranteed.add(job);
        }
        this.state.waiting.set(trace.jobId, queuedView(job));
    }

    cancel(jobId: string): void {
        const job = this.state.jobs.get(jobId);
        if (job === undefined) {
            this.state.refusedByStore = this.state.refusedByStore.filter(refused => refused.jobId !== jobId);
        }
        else if (job.state === "queued") {
            this.finish(job, "cancelled");
        }
        else if (job.state === "running" || job.state === "stopping") {
            this.stop(job, "cancelled");
        }
    }

    refuse({ jobId }: RefuseDecision): void {
        if (!this.state.waiting.has(jobId)) {
            throw new ReplayError(`job ${jobId} was refused but does not wait`);
        }
        this.finish(this.state.job(jobId), "refused");
    }

    start({ jobId, members }: StartDecision): void {
        const job = this.state.job(jobId);
        const { spec, failsAlways } = job.trace;
        if (!this.state.waiting.delete(jobId)) {
            throw new ReplayError(`job ${jobId} was started but does not wait`);
        }
        if (this.state.isStoreDown && !spec.idempotent) {
            throw new ReplayError(`non-idempotent job ${jobId} was started while the store was down`);
        }
        if (job.attempt > 0 && !isPreemptible(spec)) {
            throw new ReplayError(`job ${jobId} was started twice and is neither idempotent nor checkpointable`);
        }
        this.state.cluster.take(jobId, members, spec.gang);
        this.heads.leaveHead(job);
        job.attempt += 1;
        job.state = "running";
        job.members = members;
        job.startedAt = this.state.now;
        job.runsFrom = this.state.now + GANG_START_DELAYS * this.state.trace.deployment.oneWayMs;
        job.firstRunAt ??= job.runsFrom;
        this.state.placed.set(jobId, job);
        this.traffic.countMessages(job, GANG_START_DELAYS);
        const failedOn = this.state.cluster.failingMember(members) ?? (failsAlways ? members[0]?.vmId : undefined);
        const endsAt = trueEnd(job);
        this.state.events.push(failedOn === undefined ? endsAt : Math.min(endsAt, job.runsFrom + FAILURE_AFTER_MS), {
            kind: "end",
            jobId,
            attempt: job.attempt,
            ...failedOn === undefined ? {} : { failedOn },
        });
        this.heads.extendHeads(job);
    }

    preempt({ jobId }: PreemptDecision): void {
        const job = this.state.job(jobId);
        if (!this.state.placed.has(jobId)) {
            throw new ReplayError(`job ${jobId} was preempted but does not run`);
        }
        if (!isPreemptible(job.trace.spec)) {
            throw new ReplayError(`job ${jobId} was preempted and is neither idempotent nor checkpointable`);
        }
        if (job.state === "running") {
            this.stop(job, "preempted");
        }
    }

    end(job: ReplayJob, failedOn: string | undefined): void {
        this.leave(job);
        this.traffic.countMessages(job, END_MESSAGES);
        if (failedOn === undefined) {
            this.state.cluster.recordSuccess(job.members);
            this.state.learner.observe(job.trace.spec, job.trace.trueRunMs);
            this.finish(job, "finished");
            return;
        }
        this.state.cluster.recordFailure(failedOn, job.trace.jobId);
        this.lostToFaults += (this.state.now - job.startedAt) * job.size;
        job.wasHitByFault = true;
        job.failedOn = [...job.failedOn, failedOn];
        if (job.trace.spec.idempotent) {
            this.queueAgain(job);
        }
        else {
            this.finish(job, "failed");
        }
    }

    stopped(job: ReplayJob, reason: StopReason): void {
        const { spec, trueRunMs } = job.trace;
        const doneFrom = job.savedProgress;
        this.leave(job);
        if (reason === "cancelled") {
            this.finish(job, "cancelled");
            return;
        }
        if (spec.checkpointable) {
            job.savedProgress = reason === "preempted" ? progressAt(job, job.stopAskedAt) : this.lastCheckpoint(job);
        }
        const held = (this.state.now - job.startedAt) * job.size;
        const lost = held - (job.savedProgress - doneFrom) * trueRunMs * job.size;
        if (reason === "preempted") {
            this.lostToPreemption += lost;
            job.preemptions += 1;
        }
        else {
            this.lostToFaults += lost;
            job.wasHitByFault = true;
        }
        if (reason === "vmLost" && !spec.idempotent) {
            this.finish(job, "failed");
        }
        else {
            this.queueAgain(job);
        }
    }

    loseVms(vmIds: ReadonlySet<string>): void {
        this.state.cluster.setLost([...vmIds], true);
        for (const job of this.state.placed.values()) {
            if (job.stopReason !== "cancelled" && job.members.some(({ vmId }) => vmIds.has(vmId))) {
                this.stop(job, "vmLost");
            }
        }
    }

    private stop(job: ReplayJob, reason: StopReason): void {
        job.stopReason = reason;
        if (job.state === "running") {
            job.state = "stopping";
            job.stopAskedAt = this.state.now;
            const { jobId } = job.trace;
            this.traffic.countMessages(job, STOP_MESSAGES);
            const at = this.state.now + this.state.trace.deployment.rules.preemptionGraceMs;
            this.state.events.push(at, { kind: "stopped", jobId, attempt: job.attempt });
        }
    }

    private lastCheckpoint({ savedProgress, trace, runsFrom, stopAskedAt }: ReplayJob): number {
        const intervals = Math.floor(Math.max(0, stopAskedAt - runsFrom) / CHECKPOINT_INTERVAL_MS);
        return savedProgress + intervals * CHECKPOINT_INTERVAL_MS / trace.trueRunMs;
    }

    private queueAgain(job: ReplayJob): void {
        job.state = "queued";
        job.stopReason = undefined;
        this.state.waiting.set(job.trace.jobId, queuedView(job));
    }

    /** Gives back the accelerators of a job that has ended or stopped. */
    private leave(job: ReplayJob): void {
        this.state.placed.delete(job.trace.jobId);
        this.state.cluster.release(job.members, job.trace.spec.gang);
        this.heldTime += (this.state.now - job.startedAt) * job.size;
    }

    private finish(job: ReplayJob, state: "finished" | "failed" | "cancelled" | "refused"): void {
        job.state = state;
        job.endedAt = this.state.now;
        job.head = undefined;
        this.state.waiting.delete(job.trace.jobId);
        this.state.guaranteed.delete(job);
    }
}
