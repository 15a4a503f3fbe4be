import type { Table } from "@persimmonpitch/backing/table.js";
import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import { withAnySignal } from "@persimmonpitch/clock/withAnySignal.js";
import type { InvariantMonitor } from "@persimmonpitch/logging/invariantMonitor.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { GuaranteeBinding, VmCondition } from "@persimmonpitch/placement/clusterView.js";
import type { UnmetGuarantee } from "@persimmonpitch/placement/placementDecisions.js";
import { placementPass } from "@persimmonpitch/placement/placementPass.js";
import { RunTimeLearner } from "@persimmonpitch/placement/runTimeLearner.js";
import { WorkerHealth } from "@persimmonpitch/placement/workerHealth.js";
import type { Configuration } from "@persimmonpitch/schema/configuration.js";
import { isTerminal } from "@persimmonpitch/schema/job.js";
import type { ActiveJob } from "./activeJobs.js";
import { ActiveJobs } from "./activeJobs.js";
import type { AgentGateway } from "./agentGateway.js";
import { runAttempt, superviseAttempt } from "./attempt.js";
import { buildClusterView } from "./buildClusterView.js";
import { FencedAgents } from "./fencedAgents.js";
import { JobStore } from "./jobStore.js";
import type { RoleContext } from "./roleContext.js";
import { epochCheckOf } from "./roleContext.js";
import type { RoleLease } from "./roleLease.js";
import { acquireRoleLease } from "./roleLease.js";

/** Dependencies of the scheduling role, provided by the entry process. */
export interface SchedulingRoleOptions {
    readonly table: Table;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly monitor: InvariantMonitor;
    readonly region: string;
    /** Identity of this process in the row of the role lease. */
    readonly holderId: string;
    /** Returns a random number in [0, 1), for retry jitter. */
    readonly random: () => number;
    readonly gateway: AgentGateway;
    readonly configuration: () => Configuration | undefined;
    readonly onJobChanged: (jobId: string) => void;
    /** Called after this process acquires the role, so that it can notify its peers immediately. */
    readonly onAcquired?: () => void;
}

/** Minimum time between two placement passes; events that arrive within it are handled by one pass. */
const MIN_PASS_INTERVAL_MS: Millis = 50;

/** Maximum time between two placement passes, for changes without an event, such as an approaching needed-by time. */
const MAX_PASS_INTERVAL_MS: Millis = 5_000;

/** Interval at which all active jobs are read again, to find jobs whose change notification was lost. */
const RESCAN_INTERVAL_MS: Millis = 5_000;

const RECOVERY_RETRY_MS: Millis = 500;

/** Time for agents to connect to a new holder; before it ends, a missing VM does not make a guarantee unmet. */
const AGENT_DISCOVERY_MS: Millis = 15_000;

/** Acquires the scheduling role of a region, schedules jobs while it holds the role, and reacquires it after a loss. */
export class SchedulingRole {
    private lease: RoleLease | undefined;
    private context: RoleContext | undefined;
    private guaranteeBindings: readonly GuaranteeBinding[] = [];
    private unmet: readonly UnmetGuarantee[] = [];
    private lastVmConditions = new Map<string, VmCondition>();
    private readonly changedJobIds = new Set<string>();
    private readonly wakeSignal = new WakeSignal();

    constructor(private readonly options: SchedulingRoleOptions) {}

    /** The epoch of the held lease; undefined while this process may not act. */
    get epoch(): number | undefined {
        return this.lease?.mayAct() === true ? this.lease.epoch : undefined;
    }

    /** Queued and running jobs; empty on a process that does not hold the role. */
    get jobs(): readonly ActiveJob[] {
        return this.context === undefined ? [] : [...this.context.activeJobs.all()];
    }

    get unmetGuarantees(): readonly UnmetGuarantee[] {
        return this.unmet;
    }

    /** Teams that have reached their queue length limit; empty on a process that does not hold the role. */
    teamsAtQueueLimit(configuration: Configuration | undefined): ReadonlySet<string> {
        const limit = configuration?.body.rules.queueLengthPerTeam ?? Infinity;
        const waiting = new Map<string, number>();
        for (const { stored, members } of this.context?.activeJobs.all() ?? []) {
            const { team } = stored.record.spec;
            waiting.set(team, (waiting.get(team) ?? 0) + (members === undefined ? 1 : 0));
        }
        return new Set([...waiting].filter(([, count]) => count >= limit).map(([team]) => team));
    }

    /** Conditions of the VMs as of the last placement pass, by VM id. */
    get vmConditions(): ReadonlyMap<string, VmCondition> {
        return this.lastVmConditions;
    }

    /** Notifies the role of jobs that were accepted, cancelled or otherwise changed; their rows are read again. */
    notifyJobChange(jobIds: readonly string[]): void {
        jobIds.forEach(jobId => this.changedJobIds.add(jobId));
        this.wakeSignal.wake();
    }

    /** Notifies the role that agents reported a change of these attempts. */
    notifyAgentChange(attemptIds: readonly string[]): void {
        const changed = new Set(attemptIds);
        for (const job of this.context?.activeJobs.all() ?? []) {
            if (changed.has(job.stored.record.attempt?.attemptId ?? "")) {
                job.wakeSignal.wake();
            }
        }
        this.wakeSignal.wake();
    }

    /** Runs until `signal` aborts, then releases the role. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const lease = await acquireRoleLease(this.options, signal);
            if (lease !== undefined) {
                await this.runWhileHeld(lease, signal);
            }
        }
    }

    private async runWhileHeld(lease: RoleLease, signal: AbortSignal): Promise<void> {
        const { clock, table, region } = this.options;
        this.lease = lease;
        const context: RoleContext = {
            ...this.options,
            store: new JobStore(table, clock, region),
            activeJobs: new ActiveJobs(),
            role: lease,
            wakeSignal: this.wakeSignal,
            heldSince: clock.now(),
            runTimes: new RunTimeLearner(),
            workerHealth: new WorkerHealth(),
        };
        this.context = context;
        this.options.onAcquired?.();
        const leaseLost = new AbortController();
        await withAnySignal([signal, leaseLost.signal], async stopSignal => {
            const renewal = lease.renewUntilLost(stopSignal).then(() => {
                leaseLost.abort();
                this.wakeSignal.wake();
            });
            await this.runPlacementLoop(context, stopSignal);
            if (signal.aborted) {
                await lease.release();
            }
            lease.isLost = true;
            [...context.activeJobs.all()].forEach(job => {
                job.wakeSignal.wake();
            });
            leaseLost.abort();
            await renewal;
        });
        this.lease = undefined;
        this.context = undefined;
        this.guaranteeBindings = [];
    }

    private async runPlacementLoop(context: RoleContext, signal: AbortSignal): Promise<void> {
        const fencedAgents = new FencedAgents(context);
        await this.recoverJobs(context, signal);
        let rescanAt = context.clock.now() + RESCAN_INTERVAL_MS;
        while (!signal.aborted && !context.role.isLost) {
            if (context.clock.now() >= rescanAt) {
                rescanAt = context.clock.now() + RESCAN_INTERVAL_MS;
                await this.loadActiveJobs(context);
            }
            await this.reloadChangedJobs(context);
            fencedAgents.fenceNewAgents();
            fencedAgents.stopOrphanedTasks();
            this.runPlacementPass(context, fencedAgents);
            await context.clock.sleep(MIN_PASS_INTERVAL_MS, signal);
            await this.wakeSignal.wait(context.clock, timeUntilNextPass(context), signal);
        }
    }

    /** Loads all active jobs from their rows and resumes supervision of the attempts in progress. */
    private async recoverJobs(context: RoleContext, signal: AbortSignal): Promise<void> {
        while (!signal.aborted && !context.role.isLost) {
            if (await this.loadActiveJobs(context)) {
                context.logger.log("info", "role.recovered", { jobs: context.activeJobs.size });
                return;
            }
            await context.clock.sleep(RECOVERY_RETRY_MS, signal);
        }
    }

    private async loadActiveJobs(context: RoleContext): Promise<boolean> {
        for await (const job of context.store.activeJobs()) {
            if (job.isErr) {
                context.logger.log("warn", "scan.failed", { kind: job.error.kind });
                return false;
            }
            this.trackStoredJob(context, job.value.record.jobId, job.value);
        }
        return true;
    }

    private trackStoredJob(context: RoleContext, jobId: string, stored: ActiveJob["stored"]): void {
        const isTracked = context.activeJobs.get(jobId) !== undefined;
        if (!isTracked && isTerminal(stored.record.state)) {
            return;
        }
        const job = context.activeJobs.upsert(stored);
        const { attempt, cancelRequested, state } = stored.record;
        if (isTerminal(state) && job.members === undefined) {
            context.activeJobs.remove(jobId);
            return;
        }
        if (cancelRequested && job.stopReason !== "cancelled") {
            job.stopReason = "cancelled";
            job.wakeSignal.wake();
        }
        // Includes tracked jobs that are queued here: a claim without a response can take effect late.
        const isUnsupervised = !isTracked || job.members === undefined;
        if (isUnsupervised && state === "running" && attempt !== undefined) {
            job.members = attempt.members;
            void superviseAttempt(context, job, attempt);
        }
    }

    private async reloadChangedJobs(context: RoleContext): Promise<void> {
        const jobIds = [...this.changedJobIds];
        this.changedJobIds.clear();
        await Promise.all(jobIds.map(async jobId => {
            const read = await context.store.read(jobId);
            if (read.isOk && read.value !== undefined) {
                this.trackStoredJob(context, jobId, read.value);
            }
        }));
    }

    private runPlacementPass(context: RoleContext, fencedAgents: FencedAgents): void {
        const configuration = context.configuration();
        if (configuration === undefined || !context.role.mayAct()) {
            return;
        }
        const view = buildClusterView(context, configuration, fencedAgents, this.guaranteeBindings);
        this.lastVmConditions = new Map(view.vms.map(({ vmId, condition }) => [vmId, condition]));
        const decisions = placementPass(view);
        this.guaranteeBindings = decisions.bindings;
        this.reportUnmetGuarantees(context, decisions.unmetGuarantees);
        for (const { jobId, reason, detail } of decisions.waiting) {
            const job = context.activeJobs.get(jobId);
            if (job !== undefined) {
                job.explanation = { reason, detail };
            }
        }
        for (const { jobId, forJobId } of decisions.preemptions) {
            const job = context.activeJobs.get(jobId);
            if (job !== undefined && job.stopReason === undefined) {
                context.logger.log("info", "job.preempted", { job: jobId, for: forJobId });
                job.stopReason = "preempted";
                job.wakeSignal.wake();
            }
        }
        for (const { jobId, members } of decisions.starts) {
            const job = context.activeJobs.get(jobId);
            if (job !== undefined) {
                job.explanation = undefined;
                void runAttempt(context, job, members);
            }
        }
        for (const { jobId, reason, detail } of decisions.refusals) {
            const job = context.activeJobs.get(jobId);
            if (job !== undefined) {
                void this.refuseJob(context, job, reason, detail);
            }
        }
    }

    private async refuseJob(context: RoleContext, job: ActiveJob, code: string, detail: string): Promise<void> {
        const ran = job.stored.record.attempts === 0 ? "no" : "yes";
        const written = await context.store.recordOutcome(
            job.stored,
            "refused",
            { ran, code, detail },
            epochCheckOf(context),
        );
        if (written.isOk) {
            context.activeJobs.remove(job.stored.record.jobId);
            context.logger.log("info", "job.refused", { job: job.stored.record.jobId, code });
            context.onJobChanged(job.stored.record.jobId);
        }
        else {
            this.notifyJobChange([job.stored.record.jobId]);
        }
    }

    private reportUnmetGuarantees(context: RoleContext, unmet: readonly UnmetGuarantee[]): void {
        if (context.clock.now() - context.heldSince < AGENT_DISCOVERY_MS) {
            return;
        }
        const reported = new Set(this.unmet.map(({ team, name, instance }) => `${team}/${name}/${instance}`));
        for (const { team, name, instance } of unmet) {
            if (!reported.has(`${team}/${name}/${instance}`)) {
                context.monitor.report("I1", { team, guarantee: name, instance });
            }
        }
        this.unmet = unmet;
    }
}

/** Time until the next pass without an event: when a requeued job may be placed again, or the maximum interval. */
const timeUntilNextPass = ({ activeJobs: jobs, clock }: RoleContext): Millis => {
    const now = clock.now();
    const delays = [...jobs.all()]
        .filter(({ members, notBefore }) => members === undefined && notBefore > now)
        .map(({ notBefore }) => notBefore - now);
    return Math.min(MAX_PASS_INTERVAL_MS, ...delays);
};
