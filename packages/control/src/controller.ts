import { summarizeLoad } from "@persimmonpitch/admission/loadSummary.js";
import type { Millis } from "@persimmonpitch/clock/clock.js";
import { isAborted } from "@persimmonpitch/clock/isAborted.js";
import { withAnySignal } from "@persimmonpitch/clock/withAnySignal.js";
import { DEFAULT_DISPATCH_OPTIONS } from "@persimmonpitch/dispatch/dispatchOptions.js";
import { runPass } from "@persimmonpitch/dispatch/dispatchPass.js";
import type { DispatchView } from "@persimmonpitch/dispatch/dispatchView.js";
import { isUrgent } from "@persimmonpitch/dispatch/readyUnits.js";
import { SearchTurns } from "@persimmonpitch/dispatch/searchTurns.js";
import type { ExecutorReport } from "@persimmonpitch/protocol/executorMessages.js";
import type { ExecutorInfo } from "@persimmonpitch/workload/executorReport.js";
import { isCold } from "@persimmonpitch/workload/executorReport.js";
import { ActiveJobs } from "./activeJobs.js";
import { AdviceCache } from "./adviceCache.js";
import type { AgentConnection, AgentEvents } from "./agentTask.js";
import { runAgentTask } from "./agentTask.js";
import { buildDispatchView } from "./buildDispatchView.js";
import { ClusterState } from "./clusterState.js";
import type { ControllerContext, TakenRole } from "./controllerContext.js";
import { ControllerLease } from "./controllerLease.js";
import { DecisionApplier } from "./decisionApplier.js";
import { EvacuationEnforcer } from "./evacuationEnforcer.js";
import type { ExecutorState } from "./executorState.js";
import { isOtherMachine } from "./isOtherMachine.js";
import { JobLog } from "./jobLog.js";
import { KeyedTasks } from "./keyedTasks.js";
import { LeaseRenewer } from "./leaseRenewer.js";
import { LoadPublisher } from "./loadPublisher.js";
import type { OpenJob } from "./openJob.js";
import { OrderSender } from "./orderSender.js";
import { Pacer } from "./pacer.js";
import type { PassUrgency } from "./passSchedule.js";
import { PassSchedule } from "./passSchedule.js";
import { ProgressWriter } from "./progressWriter.js";
import { queueOfJob } from "./queueOfJob.js";
import { Reconciler } from "./reconciler.js";
import { RowChangeHandler } from "./rowChangeHandler.js";
import { TermRenewer } from "./termRenewer.js";
import { TombstoneSweeper } from "./tombstoneSweeper.js";

/** A controller that reaches no agent and no other entry for this long releases the role. */
const UNREACHED_TIMEOUT_MS: Millis = 3_000;

/** Interval between log lines on the load of the controller. */
const LOAD_INTERVAL_MS: Millis = 10_000;

/** Changes with what decisions depend on at once; the time that an executor stays cold falls with each report. */
const descriptionKey = (info: ExecutorInfo | undefined): string =>
    JSON.stringify(info === undefined ? [] : [{ ...info, coldRemainingMs: undefined }, isCold(info)]);

/** Why a controller stopped: it lost or released the role, could reach only the store, or left the role to a peer. */
export type ControllerExit = "ended" | "unreached" | "handedOver";

/** Schedules and supervises all runs while this process holds the controller role. */
export class Controller implements AgentEvents {
    private readonly roleLost = new AbortController();
    private readonly jobs: ActiveJobs;
    private readonly cluster: ClusterState;
    private readonly writer: ProgressWriter;
    private readonly controllerLease: ControllerLease;
    private readonly termRenewer: TermRenewer;
    private readonly orders: OrderSender;
    private readonly leaseRenewer: LeaseRenewer;
    private readonly reconciler: Reconciler;
    private readonly evacuationEnforcer: EvacuationEnforcer;
    private readonly decisionApplier: DecisionApplier;
    private readonly advice: AdviceCache;
    private readonly pacer: Pacer;
    private readonly jobLog: JobLog;
    private readonly rowChanges: RowChangeHandler;
    private readonly tombstoneSweeper: TombstoneSweeper;
    private readonly loadPublisher: LoadPublisher;
    private readonly connections = new Map<string, AgentConnection>();
    private readonly agentTasks: KeyedTasks;
    private readonly passSchedule: PassSchedule;
    private readonly searchTurns = new SearchTurns();
    private lastReachedAt: Millis;
    /** Whether urgent work found no place in the last pass, so that what frees resources is urgent, too. */
    private isUrgentWorkWaiting = false;
    private exit: ControllerExit = "ended";

    constructor(private readonly context: ControllerContext, private readonly role: TakenRole) {
        const { replica, clock, logger, store, announce } = context;
        this.lastReachedAt = clock.now();
        this.passSchedule = new PassSchedule(clock);
        this.jobs = new ActiveJobs(replica, logger);
        this.jobLog = new JobLog({
            ...context,
            slownessOf: vm => this.cluster.samples.speeds.slowness.get(vm) ?? 1,
        });
        this.agentTasks = new KeyedTasks({ name: "agent", clock, logger });
        this.cluster = new ClusterState({
            jobs: this.jobs,
            clock,
            logger,
            maxAttempts: openJob => this.maxAttempts(openJob),
            onChanged: openJob => {
                this.writer.markDirty(openJob);
                this.requestPass();
            },
        });
        const onRoleLost = (detail: string) => {
            this.endRole(detail);
        };
        this.writer = new ProgressWriter({ store, clock, logger, roleVersion: role.rowVersion, onRoleLost, announce });
        this.rowChanges = new RowChangeHandler({
            replica,
            config: context.config,
            jobs: this.jobs,
            writer: this.writer,
            requestPass: urgency => {
                this.requestPass(urgency);
            },
        });
        this.tombstoneSweeper = new TombstoneSweeper({ ...context, roleVersion: role.rowVersion });
        this.loadPublisher = new LoadPublisher({
            ...context,
            roleVersion: role.rowVersion,
            isEnabled: context.publishesLoad ?? (() => false),
            summarize: () => {
                const view = this.buildView();
                return view === undefined ? undefined : summarizeLoad(view, role.epoch);
            },
        });
        this.advice = new AdviceCache({
            port: context.advice,
            clock,
            logger,
            random: context.random,
            incarnationOf: executorId => this.cluster.executors.get(executorId)?.born,
            onChanged: () => {
                this.requestPass();
            },
        });
        this.controllerLease = new ControllerLease(clock, role.takenAt, this.cluster);
        this.termRenewer = new TermRenewer({
            store,
            clock,
            logger,
            role,
            controllerLease: this.controllerLease,
            onRenewed: () => {
                this.resumeDeferred();
            },
            onRoleLost,
        });
        const connectionOf = (vm: string) => this.connections.get(vm);
        const onRenewalNeeded = () => {
            this.termRenewer.requestRenewal();
        };
        const { cluster, jobs, writer, controllerLease } = this;
        const { epoch, takenAt } = role;
        const { timings } = context;
        this.pacer = new Pacer({ cluster, timings, clock, logger, epoch, connectionOf });
        this.orders = new OrderSender({
            cluster,
            advice: this.advice,
            jobs,
            context,
            epoch,
            controllerLease,
            onRenewalNeeded,
            connectionOf,
            onChanged: () => {
                this.requestPass();
            },
        });
        const { orders } = this;
        this.leaseRenewer = new LeaseRenewer({
            cluster,
            clock,
            epoch,
            controllerLease,
            connectionOf,
            flushed: () => writer.flushed(),
            onRenewalNeeded,
            onFenced: () => {
                this.endRole("An agent has accepted a newer epoch.");
            },
        });
        this.reconciler = new Reconciler({
            cluster,
            jobs,
            orders,
            clock,
            takenAt,
            timings,
            onJobRemoved: openJob => {
                this.jobLog.logEnd(openJob);
            },
        });
        this.evacuationEnforcer = new EvacuationEnforcer({ ...context, cluster, jobs, orders });
        this.decisionApplier = new DecisionApplier({ cluster, jobs, orders, writer, logger });
    }

    /** Runs until the role is lost or `signal` aborts. */
    async run(signal: AbortSignal): Promise<ControllerExit> {
        const stopListening = [
            this.context.replica.listen(keys => {
                this.rowChanges.apply(keys);
            }),
            this.context.config.listen(() => {
                this.requestPass();
            }),
            this.context.evacuation.listen(() => {
                this.evacuationEnforcer.withdrawStarts();
                this.requestPass();
            }),
        ];
        this.rowChanges.applyStoredCancellations();
        await withAnySignal([signal, this.roleLost.signal], async roleSignal => {
            await Promise.all([
                this.writer.run(roleSignal),
                this.termRenewer.run(roleSignal),
                this.runPasses(roleSignal),
                this.advice.run(roleSignal),
                this.tombstoneSweeper.run(roleSignal),
                this.loadPublisher.run(roleSignal),
                this.logLoad(roleSignal),
            ]);
            stopListening.forEach(stop => {
                stop();
            });
        });
        return this.exit;
    }

    onAttached(vm: string, connection: AgentConnection, reports: readonly ExecutorReport[]): void {
        this.connections.set(vm, connection);
        for (const report of reports) {
            this.onReport(vm, report);
        }
        this.requestPass();
    }

    onReport(vm: string, report: ExecutorReport): void {
        const state = this.cluster.getOrAddExecutor(vm, report.executor.executorId);
        const runCount = state.runs.size;
        const isDescriptionChanged = descriptionKey(state.info) !== descriptionKey(report.executor);
        if (state.info !== undefined && isOtherMachine(state.info, report.executor)) {
            this.cluster.samples.speeds.forget(vm);
        }
        state.info = report.executor;
        state.address = report.executor.address;
        this.cluster.startIncarnation(state, report.executor.born);
        // Only an executor that has answered at its address shows that no other one listens there any more.
        if (report.list !== undefined) {
            this.cluster.markReplacedRunsLost(state);
        }
        state.isUnreachable = report.isUnreachable;
        if (report.isUnreachable || report.list === undefined) {
            this.detach(state, "unreachable");
        }
        if (report.list !== undefined) {
            this.applyList(state, report.list);
        }
        if (report.hasLeft) {
            this.cluster.markLeft(state);
        }
        // Mere progress changes no decision at once, and reports come from each executor every second.
        if (isDescriptionChanged || state.runs.size < runCount) {
            this.requestPass();
        }
    }

    onDetached(vm: string): void {
        this.connections.delete(vm);
        for (const state of this.cluster.executors.values()) {
            if (state.vm === vm) {
                state.isAttached = false;
            }
        }
        this.requestPass();
    }

    onFenced(epoch: number): void {
        this.endRole(`An agent has accepted the newer epoch ${epoch}.`);
    }

    renewLeases(vm: string, connection: AgentConnection): Promise<boolean> {
        return this.leaseRenewer.renewAll(vm, connection);
    }

    /** Releases the role so that another process can take it immediately. */
    async release(): Promise<void> {
        await this.termRenewer.release();
        this.endRole("The role was released.");
    }

    private endRole(detail: string): void {
        if (!this.roleLost.signal.aborted) {
            this.context.logger.log("info", "controller.ended", { epoch: this.role.epoch, detail });
            this.roleLost.abort();
        }
    }

    private maxAttempts(openJob: OpenJob): number {
        return queueOfJob(this.context.config.current, openJob.job)?.maxAttempts ?? Number.POSITIVE_INFINITY;
    }

    private requestPass(urgency: PassUrgency = this.isUrgentWorkWaiting ? "urgent" : "normal"): void {
        this.passSchedule.request(urgency);
    }

    private applyList(state: ExecutorState, list: NonNullable<ExecutorReport["list"]>): void {
        if (state.isOutdatedList(list, this.context.clock.now())) {
            this.detach(state, "silent");
            return;
        }
        const isFirstList = !state.isAttached || state.born !== list.born;
        this.cluster.applyRunList(state, list);
        if (isFirstList && !state.isUnreachable) {
            state.isAttached = true;
            if (state.deadlineMs === 0) {
                // An earlier controller may have granted a lease up to the longest that the executor accepts.
                state.deadlineMs = list.clockMs + this.context.timings.maxLeaseMs;
            }
            this.orders.resendOrders(state);
        }
        const lastEndNumber = Math.max(0, ...list.ends.map(({ number }) => number));
        if (lastEndNumber > state.durableEnd) {
            void this.leaseRenewer.acknowledge(state, list.born, lastEndNumber);
        }
    }

    /**
     * Treats an executor that does not answer its agent, or that its agent cannot connect to, like one whose agent is
     * away: it gets no work, its lease is not extended, and its runs are lost once the lease has lapsed. The next list
     * that it answers attaches it again.
     */
    private detach(state: ExecutorState, reason: "silent" | "unreachable"): void {
        if (state.isAttached) {
            state.isAttached = false;
            this.context.logger.log("info", "executor.detached", {
                executor: state.executorId,
                reason,
                runs: state.runs.size,
            });
            this.requestPass();
        }
    }

    /** Extends the leases and sends the starts that were waiting for a term renewal. */
    private resumeDeferred(): void {
        for (const state of this.cluster.executors.values()) {
            const connection = this.connections.get(state.vm);
            if (!state.isAwaitingRenewal || !state.isAttached || connection === undefined) {
                continue;
            }
            state.isAwaitingRenewal = false;
            void this.leaseRenewer.renew(state, connection);
            this.orders.sendDeferredStarts(state);
        }
    }

    private async runPasses(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.passSchedule.begin();
            this.startAgentTasks();
            this.evacuationEnforcer.withdrawStarts();
            this.reconciler.markLapsedRunsLost();
            this.reconciler.reconcile();
            this.decide();
            this.pacer.apply();
            this.passSchedule.end();
            await this.releaseIfUnreached();
            await this.handOverIfOutclassed();
            await this.passSchedule.waitUntilDue(signal);
        }
        for (const connection of this.connections.values()) {
            connection.close();
        }
        await this.agentTasks.end();
    }

    private async logLoad(signal: AbortSignal): Promise<void> {
        const { clock, logger } = this.context;
        while (!signal.aborted) {
            await clock.sleep(LOAD_INTERVAL_MS, signal);
            if (isAborted(signal)) {
                return;
            }
            const { passes, totalMs, longestMs, longestDelayMs } = this.passSchedule.takeLoad();
            logger.log("info", "controller.load", {
                executors: this.cluster.executors.size,
                jobs: this.jobs.byId.size,
                passes,
                passMs: Math.round(totalMs),
                longestPassMs: Math.round(longestMs),
                longestDelayMs: Math.round(longestDelayMs),
            });
            this.evacuationEnforcer.logState();
        }
    }

    /** Releases the role if only the store is reachable, because another entry may be able to reach the agents. */
    private async releaseIfUnreached(): Promise<void> {
        const { clock, replica, isIsolated } = this.context;
        const isUnreached = isIsolated() && this.connections.size === 0 && replica.agents.size > 0;
        if (!isUnreached) {
            this.lastReachedAt = clock.now();
        }
        else if (clock.now() - this.lastReachedAt > UNREACHED_TIMEOUT_MS) {
            this.exit = "unreached";
            await this.release();
        }
    }

    /** Releases the role if a peer can carry it better, unless the store is unsettled: peers could not take it then. */
    private async handOverIfOutclassed(): Promise<void> {
        if (!this.roleLost.signal.aborted && this.controllerLease.isValid && this.context.shouldHandOver()) {
            this.exit = "handedOver";
            await this.release();
        }
    }

    private startAgentTasks(): void {
        for (const vm of this.context.replica.agents.keys()) {
            this.agentTasks.start(vm, signal => runAgentTask(this.context, vm, this.role.epoch, this, signal));
        }
    }

    private buildView(): DispatchView | undefined {
        const config = this.context.config.current;
        // Without the operator's rows a start could violate an evacuation.
        if (config === undefined || this.context.evacuation.current === undefined) {
            return undefined;
        }
        return buildDispatchView(this.context, config, this.jobs, this.cluster, this.advice.usableExecutors());
    }

    private decide(): void {
        const current = this.buildView();
        if (current === undefined) {
            return;
        }
        const view = {
            ...current,
            searchTurns: this.searchTurns.next(DEFAULT_DISPATCH_OPTIONS.maxSearchTurns),
        };
        const startedAt = this.context.clock.now();
        this.learnSpeeds(view);
        const { slowness } = this.cluster.samples.speeds;
        const { decisions, waiting, skippedSearches } = runPass(
            { ...view, slowness },
            this.context.dispatchOptions?.(),
        );
        this.searchTurns.record(skippedSearches);
        this.jobLog.logWaiting(waiting);
        this.isUrgentWorkWaiting = waiting.some(({ ranked }) => isUrgent(ranked.unit));
        for (const decision of decisions) {
            this.decisionApplier.apply(decision);
        }
        this.advice.setView(view);
        if (decisions.length > 0) {
            this.context.logger.log("debug", "pass.decided", {
                jobs: view.jobs.length,
                decisions: decisions.length,
                ms: Math.round(this.context.clock.now() - startedAt),
            });
        }
    }

    /** Learns the speeds of the executors and logs those whose class changes. */
    private learnSpeeds(view: DispatchView): void {
        const { clock, logger } = this.context;
        for (const { vm, before, after, evidence } of this.cluster.samples.speeds.update(view, clock.now())) {
            logger.log("info", "executor.speed", { vm, slowness: after, before, evidence: Math.round(evidence) });
        }
    }
}
