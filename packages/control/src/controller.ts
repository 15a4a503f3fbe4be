import type { Millis } from "@persimmonpitch/clock/clock.js";
import { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import { dispatchPass } from "@persimmonpitch/dispatch/dispatchPass.js";
import type { DispatchDecision, StartDecision, StopDecision } from "@persimmonpitch/dispatch/dispatchView.js";
import type { ExecutorReport } from "@persimmonpitch/protocol/executorMessages.js";
import { parseTaskName, taskName } from "@persimmonpitch/workload/taskName.js";
import { AdviceBook } from "./adviceBook.js";
import type { AgentConnection, AgentEvents } from "./agentTask.js";
import { runAgentTask } from "./agentTask.js";
import { Authority } from "./authority.js";
import { buildDispatchView } from "./buildDispatchView.js";
import type { ControllerContext, TakenRole } from "./controllerContext.js";
import type { ExecutorState, HeldRun } from "./executorState.js";
import { Fleet } from "./fleet.js";
import { JobBook } from "./jobBook.js";
import { inheritedLapsedAt, lapsedAt, LEASE_MS } from "./leaseRules.js";
import type { OpenJob } from "./openJob.js";
import { stepKeys } from "./openJob.js";
import { OrderSender } from "./orderSender.js";
import { ProgressWriter } from "./progressWriter.js";
import { TermKeeper } from "./termKeeper.js";

/** Events within this time share one pass. */
const PASS_DELAY_MS: Millis = 5;
/** A pass also runs when nothing happens, for due times, stalled runs and lapsed leases. */
const IDLE_PASS_MS: Millis = 250;
const LEASE_TIMEOUT_MS: Millis = 1_500;

/** Decides what runs where, while this process holds the role. */
export class Controller implements AgentEvents {
    private readonly lost = new AbortController();
    private readonly jobs: JobBook;
    private readonly fleet: Fleet;
    private readonly writer: ProgressWriter;
    private readonly authority: Authority;
    private readonly term: TermKeeper;
    private readonly orders: OrderSender;
    private readonly advice: AdviceBook;
    private readonly connections = new Map<string, AgentConnection>();
    private readonly agentTasks = new Map<string, Promise<void>>();
    private readonly wake = new WakeSignal();

    constructor(private readonly context: ControllerContext, private readonly role: TakenRole) {
        const { replica, clock, logger, store, announce } = context;
        this.jobs = new JobBook(replica, logger);
        this.fleet = new Fleet({
            jobs: this.jobs,
            clock,
            logger,
            maxAttempts: open => this.maxAttempts(open),
            onChanged: open => {
                this.writer.markDirty(open);
                this.wake.wake();
            },
        });
        const onRoleLost = (detail: string) => {
            this.loseRole(detail);
        };
        this.writer = new ProgressWriter({ store, clock, logger, roleVersion: role.rowVersion, onRoleLost, announce });
        this.advice = new AdviceBook({
            port: context.advice,
            clock,
            logger,
            random: context.random,
            bornOf: executorId => this.fleet.executors.get(executorId)?.born,
            onChanged: () => {
                this.wake.wake();
            },
        });
        this.authority = new Authority(clock, role.takenAt, this.fleet);
        this.term = new TermKeeper({
            store,
            clock,
            logger,
            role,
            authority: this.authority,
            onRenewed: () => {
                this.resumeAwaited();
            },
            onRoleLost,
        });
        this.orders = new OrderSender({
            fleet: this.fleet,
            advice: this.advice,
            jobs: this.jobs,
            context,
            epoch: role.epoch,
            authority: this.authority,
            onHeldBack: () => {
                this.term.renewSoon();
            },
            connectionOf: vm => this.connections.get(vm),
            onChanged: () => {
                this.wake.wake();
            },
        });
    }

    /** Works until the role is lost or `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const ended = AbortSignal.any([signal, this.lost.signal]);
        const stopListening = this.context.replica.listen(keys => {
            this.noteRows(keys);
        });
        this.context.config.listen(() => {
            this.wake.wake();
        });
        this.noteRows([...this.context.replica.cancels.keys()].map(jobId => `cancel/${jobId}`));
        await Promise.all([
            this.writer.run(ended),
            this.term.run(ended),
            this.runPasses(ended),
            this.advice.run(ended),
        ]);
        stopListening();
        for (const connection of this.connections.values()) {
            connection.close();
        }
        await Promise.all(this.agentTasks.values());
    }

    onAttached(vm: string, connection: AgentConnection, reports: readonly ExecutorReport[]): void {
        this.connections.set(vm, connection);
        for (const report of reports) {
            this.onReport(vm, report);
        }
        this.wake.wake();
    }

    onReport(vm: string, report: ExecutorReport): void {
        const state = this.fleet.executor(vm, report.executor.executorId);
        state.info = report.executor;
        state.address = report.executor.address;
        this.fleet.restart(state, report.executor.born);
        this.fleet.loseReplaced(state);
        if (report.isGone) {
            state.isAttached = false;
            this.fleet.loseAll(state, "gone");
        }
        else if (report.list !== undefined) {
            this.applyList(state, report.list);
        }
        this.wake.wake();
    }

    onDetached(vm: string): void {
        this.connections.delete(vm);
        for (const state of this.fleet.executors.values()) {
            if (state.vm === vm) {
                state.isAttached = false;
            }
        }
        this.wake.wake();
    }

    onFenced(epoch: number): void {
        this.loseRole(`An agent knows the newer epoch ${epoch}.`);
    }

    async renewLeases(vm: string, connection: AgentConnection): Promise<boolean> {
        const states = [...this.fleet.executors.values()].filter(state => state.vm === vm && state.isAttached);
        const answers = await Promise.all(states.map(state => this.renewLease(state, connection)));
        return answers.every(Boolean);
    }

    /** Gives the role away, so that another process can take it at once. */
    async release(): Promise<void> {
        await this.term.release();
        this.loseRole("The role was released.");
    }

    private loseRole(detail: string): void {
        if (!this.lost.signal.aborted) {
            this.context.logger.log("info", "controller.ended", { epoch: this.role.epoch, detail });
            this.lost.abort();
        }
    }

    private maxAttempts(open: OpenJob): number {
        const queues = this.context.config.current?.queues ?? [];
        return queues.find(({ name }) => name === open.job.queue)?.maxAttempts ?? Number.POSITIVE_INFINITY;
    }

    private noteRows(keys: readonly string[]): void {
        for (const key of keys) {
            const [kind, jobId = ""] = key.split("/");
            if (kind === "job") {
                this.jobs.take(jobId);
                // A scan of the whole table brings the keys in order, so the cancellation comes before its job.
                if (this.context.replica.cancels.has(jobId)) {
                    this.cancel(jobId);
                }
            }
            else if (kind === "cancel") {
                this.cancel(jobId);
            }
        }
        this.wake.wake();
    }

    private cancel(jobId: string): void {
        const open = this.jobs.jobs.get(jobId);
        if (open?.isOpen === true) {
            open.conclude("cancelled");
            this.writer.markDirty(open);
        }
    }

    private applyList(state: ExecutorState, list: NonNullable<ExecutorReport["list"]>): void {
        const isFirst = !state.isAttached;
        this.fleet.applyList(state, list);
        if (isFirst) {
            state.isAttached = true;
            // An earlier controller may have given a lease of any length that the executor takes.
            state.deadlineMs = Math.max(state.deadlineMs, list.clockMs + this.context.timings.maxLeaseMs);
            this.orders.resumeStarts(state);
        }
        const lastEnd = Math.max(0, ...list.ends.map(({ number }) => number));
        if (lastEnd > state.durableEnd) {
            void this.acknowledge(state, list.born, lastEnd);
        }
    }

    private async acknowledge(state: ExecutorState, born: number, lastEnd: number): Promise<void> {
        if (!await this.writer.flushed() || state.born !== born || lastEnd <= state.durableEnd) {
            return;
        }
        state.durableEnd = lastEnd;
        const connection = this.connections.get(state.vm);
        if (connection !== undefined) {
            await this.renewLease(state, connection);
        }
    }

    private async renewLease(state: ExecutorState, connection: AgentConnection): Promise<boolean> {
        const { clock } = this.context;
        if (state.clock === undefined) {
            return true;
        }
        if (this.authority.isFresh && state.authorityEndMs !== undefined) {
            const now = state.clock.readingMs + clock.now() - state.clock.at;
            const deadlineMs = Math.floor(Math.min(now, state.authorityEndMs) + LEASE_MS);
            state.deadlineMs = Math.max(state.deadlineMs, deadlineMs);
        }
        else {
            state.isAuthorityAwaited = true;
            this.term.renewSoon();
        }
        const answer = await connection.call("agent.lease", {
            epoch: this.role.epoch,
            executorId: state.executorId,
            born: state.born,
            deadlineMs: state.deadlineMs,
            durableEnd: state.durableEnd,
        }, LEASE_TIMEOUT_MS);
        if (answer.isOk && answer.value.kind === "refused" && answer.value.reason === "fence") {
            this.loseRole("An agent knows a newer epoch.");
        }
        return answer.isOk;
    }

    /** Gives the leases and sends the starts that waited for a renewal of the term. */
    private resumeAwaited(): void {
        for (const state of this.fleet.executors.values()) {
            const connection = this.connections.get(state.vm);
            if (!state.isAuthorityAwaited || !state.isAttached || connection === undefined) {
                continue;
            }
            state.isAuthorityAwaited = false;
            void this.renewLease(state, connection);
            this.orders.releaseHeldBack(state);
        }
    }

    private async runPasses(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.startAgentTasks(signal);
            this.loseLapsed();
            this.reconcile();
            this.decide();
            await this.wake.wait(this.context.clock, IDLE_PASS_MS, signal);
            await this.context.clock.sleep(PASS_DELAY_MS, signal);
        }
    }

    private startAgentTasks(signal: AbortSignal): void {
        for (const vm of this.context.replica.agents.keys()) {
            if (!this.agentTasks.has(vm)) {
                const task = runAgentTask(this.context, vm, this.role.epoch, this, signal).finally(() => {
                    this.agentTasks.delete(vm);
                });
                this.agentTasks.set(vm, task);
            }
        }
    }

    /** Runs on an executor that cannot be reached are gone once its lease has certainly lapsed. */
    private loseLapsed(): void {
        const now = this.context.clock.now();
        for (const state of this.fleet.executors.values()) {
            if (state.runs.size === 0 || state.isAttached) {
                continue;
            }
            const lapse = state.clock === undefined
                ? inheritedLapsedAt(this.role.takenAt, this.context.timings.maxLeaseMs)
                : lapsedAt(state.deadlineMs, state.clock);
            if (now >= lapse) {
                this.fleet.loseAll(state, "lapsed");
            }
        }
    }

    /** Ends what must not run on: runs of ended jobs, gangs that lost a member, runs that no claim covers. */
    private reconcile(): void {
        for (const state of this.fleet.executors.values()) {
            for (const held of state.runs.values()) {
                const open = this.jobs.jobs.get(held.jobId);
                if (open === undefined || !open.isOpen || held.isConcluded || this.isGangBroken(open, held)) {
                    this.orders.stop(held);
                }
            }
            for (const stray of state.strays.values()) {
                this.orders.stopStray(state, stray);
            }
        }
        const busy = new Set(
            [...this.fleet.executors.values()].flatMap(state => [...state.runs.values()].map(({ jobId }) => jobId)),
        );
        for (const [jobId, open] of this.jobs.jobs) {
            if (!open.isOpen && !busy.has(jobId)) {
                this.jobs.release(jobId);
            }
        }
    }

    private isGangBroken(open: OpenJob, held: HeldRun): boolean {
        const place = parseTaskName(held.task);
        const step = place === undefined ? undefined : open.job.steps[place.step];
        if (place === undefined || step?.isGang !== true) {
            return false;
        }
        return stepKeys(step, place.occurrence, place.step).some(key => {
            const task = open.task(key);
            return task.run !== held.run || (task.placement === undefined && !task.isDone);
        });
    }

    private decide(): void {
        const config = this.context.config.current;
        if (config === undefined) {
            return;
        }
        const view = buildDispatchView(this.context, config, this.jobs, this.fleet, this.advice.advised());
        const startedAt = this.context.clock.now();
        const decisions = dispatchPass(view);
        for (const decision of decisions) {
            this.apply(decision);
        }
        this.advice.note(view);
        if (decisions.length > 0) {
            this.context.logger.log("debug", "pass.decided", {
                jobs: view.jobs.length,
                decisions: decisions.length,
                ms: Math.round(this.context.clock.now() - startedAt),
            });
        }
    }

    private apply(decision: DispatchDecision): void {
        switch (decision.kind) {
            case "start":
                this.applyStart(decision);
                return;
            case "stop":
                this.applyStop(decision);
                return;
            default: {
                const never: never = decision;
                return never;
            }
        }
    }

    private applyStart({ jobId, run, tasks }: StartDecision): void {
        const open = this.jobs.jobs.get(jobId);
        if (open === undefined) {
            return;
        }
        const held = tasks.flatMap(({ key, executorId }) => {
            const state = this.fleet.executors.get(executorId);
            return state === undefined ? [] : [this.fleet.claim(open, key, run, state)];
        });
        this.writer.markDirty(open);
        void this.startWhenDurable(held);
    }

    private async startWhenDurable(held: readonly HeldRun[]): Promise<void> {
        if (!await this.writer.flushed()) {
            return;
        }
        for (const run of held) {
            run.isClaimed = true;
            this.context.logger.log("info", "run.ordered", { task: run.task, run: run.run, executor: run.executorId });
            this.orders.start(run);
        }
    }

    private applyStop({ jobId, key, run, reason }: StopDecision): void {
        const task = taskName(jobId, key);
        for (const state of this.fleet.executors.values()) {
            const held = state.runs.get(task);
            if (held?.run === run && !held.isStopping) {
                this.context.logger.log("info", "run.stopping", { task, run, reason });
                this.orders.stop(held);
            }
        }
    }
}
