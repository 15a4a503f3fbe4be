import type { AdmissionDecision, RecentAcceptance } from "@persimmonpitch/admission/admissionDecision.js";
import { decideAdmission, forecastWaitMs, MAX_FORECAST_AGE_MS } from "@persimmonpitch/admission/admissionDecision.js";
import { isWithinGuarantee } from "@persimmonpitch/admission/guaranteeCheck.js";
import { jobWorkOf } from "@persimmonpitch/admission/jobWork.js";
import { RefusalQuota } from "@persimmonpitch/admission/refusalQuota.js";
import { retryAfterSeconds } from "@persimmonpitch/admission/retryAfter.js";
import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { ConfigHolder } from "@persimmonpitch/control/configHolder.js";
import { queueFinder } from "@persimmonpitch/control/queueOfJob.js";
import type { Replica } from "@persimmonpitch/control/replica.js";
import type { JobView } from "@persimmonpitch/dispatch/dispatchView.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { Queue } from "@persimmonpitch/workload/clusterConfig.js";
import { NO_PROGRESS } from "@persimmonpitch/workload/progress.js";
import type { StepJob } from "@persimmonpitch/workload/stepJob.js";

/** Acceptances that are remembered. A forecast is replaced within seconds, so no more of them count at one time. */
const MAX_REMEMBERED = 1_000;

/** A decision to refuse a job. */
export type Refusal = Extract<AdmissionDecision, { kind: "refuse"; }>;

export interface AdmissionGateOptions {
    readonly replica: Replica;
    readonly config: ConfigHolder;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly isAdmissionOn: () => boolean;
    readonly random: () => number;
}

/** How long a repeat of an id that this entry tried to store is not refused: its write may still take effect. */
const ATTEMPT_MEMORY_MS: Millis = 60_000;
const MAX_ATTEMPTS = 20_000;

/** Refuses jobs that an overloaded cluster cannot serve. Knows what this entry accepted since the last forecast. */
export class AdmissionGate {
    private accepted: readonly RecentAcceptance[] = [];
    private readonly quota = new RefusalQuota();
    /** When this entry last tried to store a job, by its id, the oldest first. */
    private readonly attempts = new Map<string, Millis>();

    constructor(private readonly options: AdmissionGateOptions) {}

    /** Returns why a job is to be refused unless it is stored; `undefined` if it is accepted. */
    findRefusal(job: StepJob, queue: Queue): Refusal | undefined {
        const { isAdmissionOn, clock } = this.options;
        if (!isAdmissionOn()) {
            return undefined;
        }
        this.forgetAttempts();
        const refusal = this.attempts.has(job.jobId) ? undefined : this.decideWithinQuota(job, queue);
        if (refusal === undefined) {
            this.attempts.delete(job.jobId);
            this.attempts.set(job.jobId, clock.now());
        }
        return refusal;
    }

    /** Logs a refusal with its figures. */
    logRefusal(job: StepJob, refusal: Refusal): void {
        this.logDecision("job.refused", job, refusal);
    }

    /** Counts a job that was stored against the capacity of the forecast. */
    recordStored(job: StepJob, queue: Queue): void {
        if (!this.options.isAdmissionOn()) {
            return;
        }
        const { accelerators, acceleratorSeconds } = jobWorkOf(job, 0);
        const since = job.acceptedAt - MAX_FORECAST_AGE_MS;
        this.accepted = [
            ...this.accepted.filter(({ at }) => at > since).slice(1 - MAX_REMEMBERED),
            {
                service: queue.service,
                priority: queue.priority,
                accelerators,
                acceleratorSeconds,
                at: job.acceptedAt,
            },
        ];
    }

    /** Whole seconds after which a refused requester of the queue may try again. */
    retryAfterSeconds(queue: Queue): number {
        const { replica, random } = this.options;
        return retryAfterSeconds(forecastWaitMs(replica.load?.value, queue), queue.priority, random());
    }

    private decideWithinQuota(job: StepJob, queue: Queue): Refusal | undefined {
        const decision = this.decide(job, queue);
        const isRefused = this.quota.record(queue.name, decision.kind === "refuse", this.options.clock.now());
        if (decision.kind === "accept") {
            return undefined;
        }
        if (!isRefused) {
            this.logDecision("job.refusalWithheld", job, decision);
        }
        return isRefused ? decision : undefined;
    }

    private forgetAttempts(): void {
        const now = this.options.clock.now();
        for (const [jobId, at] of this.attempts) {
            if (now - at < ATTEMPT_MEMORY_MS && this.attempts.size < MAX_ATTEMPTS) {
                return;
            }
            this.attempts.delete(jobId);
        }
    }

    private decide(job: StepJob, queue: Queue): AdmissionDecision {
        const { replica } = this.options;
        return decideAdmission({
            now: job.acceptedAt,
            forecast: replica.load?.value,
            entries: Math.max(1, replica.entries.size),
            queue,
            submission: job,
            accepted: this.accepted,
            isWithinGuarantee: () => this.isWithinGuarantee(job, queue),
        });
    }

    private isWithinGuarantee(job: StepJob, queue: Queue): boolean {
        const { config, clock } = this.options;
        const candidate = { job, queue, progress: NO_PROGRESS };
        const teams = config.current?.teams ?? [];
        return job.team !== undefined && queue.priority === 0
            && isWithinGuarantee(teams, this.openJobsOf(job.team), candidate, clock.wallTime());
    }

    /**
     * The open jobs of a team. Jobs whose progress is stored in several rows are left out, because what they still hold
     * is not known here; the guarantee then seems less used than it is.
     */
    private openJobsOf(team: string): readonly JobView[] {
        const { replica, config } = this.options;
        const queueOf = queueFinder(config.current);
        return [...replica.jobs.values()].flatMap(({ value: job }) => {
            const queue = queueOf(job);
            const progress = replica.progress.get(job.jobId)?.value ?? NO_PROGRESS;
            const isKnownOpen = progress.outcome === "open" && progress.split === undefined
                && !replica.cancels.has(job.jobId);
            return job.team === team && queue !== undefined && isKnownOpen ? [{ job, queue, progress }] : [];
        });
    }

    private logDecision(event: string, { jobId }: StepJob, { reason, figures }: Refusal): void {
        const { replica, logger } = this.options;
        logger.log("info", event, {
            job: jobId,
            reason,
            loadAgeMs: figures.ageMs,
            loadEpoch: replica.load?.value.epoch,
            total: figures.totalAccelerators,
            free: figures.freeAccelerators,
            waitMs: Math.round(figures.waitMs),
            endMs: Math.round(figures.endMs),
            limitMs: Math.round(figures.limitMs),
            work: Math.round(figures.acceleratorSeconds),
        });
    }
}
