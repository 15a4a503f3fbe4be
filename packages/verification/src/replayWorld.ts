import { LeaseTracker } from "@persimmonpitch/agent/leaseTracker.js";
import { createOrderHandlers } from "@persimmonpitch/agent/orderHandlers.js";
import { TaskTable } from "@persimmonpitch/agent/taskTable.js";
import { runWorkerMonitor } from "@persimmonpitch/agent/workerMonitor.js";
import type { Millis } from "@persimmonpitch/clock/clock.js";
import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { silentLogger } from "@persimmonpitch/logging/logger.js";
import type { HandlerTable } from "@persimmonpitch/protocol/method.js";
import type { OrderMethods } from "@persimmonpitch/protocol/taskMessages.js";
import type { StoredJob } from "@persimmonpitch/scheduler/jobStore.js";
import { JobStore } from "@persimmonpitch/scheduler/jobStore.js";
import type { RoleLease } from "@persimmonpitch/scheduler/roleLease.js";
import { acquireRoleLease } from "@persimmonpitch/scheduler/roleLease.js";
import { rowKeys } from "@persimmonpitch/scheduler/rowKeys.js";
import type { JobSpec } from "@persimmonpitch/schema/job.js";
import { jobRecordSchema, jobSpecSchema } from "@persimmonpitch/schema/job.js";
import { MemoryTable } from "@persimmonpitch/standins/memoryTable.js";
import { MemoryWorker } from "@persimmonpitch/standins/memoryWorker.js";
import type { Bounds } from "./modelState.js";

/** Length of a tick; the steps between two ticks, which take real time, have to fit into it. */
export const TICK_MS: Millis = 120_000;

/** Time after a tick for the worker watch to stop tasks whose lease has lapsed. */
const SETTLE_MS: Millis = 3_000;

/** Time within which a role whose holder is silent can be taken. */
const TAKE_ROLE_MS: Millis = 10_000;

export const REGION = "region-1";

/** A task that ends only when the replay makes it fast. */
const PAYLOAD = JSON.stringify({ runMs: 1e12 });

/** The real agent side of one VM. */
export interface ReplayAgent {
    readonly table: TaskTable;
    readonly lease: LeaseTracker;
    readonly worker: MemoryWorker;
    readonly handlers: HandlerTable<OrderMethods>;
    readonly watch: AbortController;
}

/** The real parts that a trace of the model is replayed against. */
export class ReplayWorld {
    readonly clock = new FakeClock();
    readonly table = new MemoryTable(this.clock);
    readonly store = new JobStore(this.table, this.clock, REGION);
    readonly roles = new Map<number, RoleLease>();
    /** Rows as their holders read them when they placed the attempt. */
    readonly placed = new Map<string, StoredJob>();
    readonly agents: ReplayAgent[];
    private ticks = 0;

    constructor(readonly bounds: Bounds) {
        this.agents = Array.from({ length: bounds.agents }, (_, index) => this.createAgent(index, 1));
    }

    get tickStart(): Millis {
        return this.ticks * TICK_MS;
    }

    specOf(job: number): JobSpec {
        return jobSpecSchema.parse({
            team: "alpha",
            workClass: "batch",
            gang: { vms: this.bounds.jobs[job]?.members ?? 1, acceleratorsPerVm: 1 },
            declaredRunMs: TICK_MS,
            idempotent: this.bounds.jobs[job]?.idempotent ?? false,
            requestKey: `key-${job}`,
            payload: PAYLOAD,
        });
    }

    /** The row of a job, whether the store answers or not. */
    storedJob(job: number): StoredJob | undefined {
        const row = this.table.snapshot().find(({ key }) => key === rowKeys.job(`job-${job}`));
        return row === undefined ? undefined : { record: jobRecordSchema.parse(row.value), version: row.version };
    }

    roleRow(): unknown {
        return this.table.snapshot().find(({ key }) => key === rowKeys.role(REGION))?.value;
    }

    epochCheck(holder: number) {
        return { region: REGION, epochRowVersion: this.roles.get(holder)?.epochRowVersion ?? 0 };
    }

    /** Runs a call while the clock moves by `duration`. */
    async during<T>(duration: Millis, call: Promise<T>): Promise<T> {
        await this.clock.advance(duration);
        return call;
    }

    async takeRole(holder: number): Promise<void> {
        const abort = new AbortController();
        const context = { ...this.roleContext, holderId: `entry-${holder}` };
        const acquired = acquireRoleLease(context, abort.signal);
        const timeout = this.clock.advance(TAKE_ROLE_MS).then(() => {
            abort.abort();
        });
        const role = await acquired;
        await timeout;
        if (role !== undefined) {
            this.roles.set(holder, role);
        }
    }

    /** Lets one tick pass, and the worker watches act on it. */
    async tick(): Promise<void> {
        this.ticks += 1;
        await this.clock.advance(this.tickStart - this.clock.now());
        await this.clock.advance(SETTLE_MS);
    }

    replaceVm(index: number, instance: number): void {
        this.agents[index]?.watch.abort();
        this.agents[index]?.worker.crash();
        this.agents[index] = this.createAgent(index, instance);
    }

    stop(): void {
        this.agents.forEach(({ watch }) => {
            watch.abort();
        });
    }

    private get roleContext() {
        return { table: this.table, clock: this.clock, logger: silentLogger, region: REGION };
    }

    private createAgent(index: number, instance: number): ReplayAgent {
        const { clock } = this;
        const { accelerators } = this.bounds;
        const table = new TaskTable(clock, { accelerators, cores: 0, memoryMb: 0 });
        const lease = new LeaseTracker(clock);
        const worker = new MemoryWorker(clock, { vmId: `vm-${index}`, accelerators });
        const context = { clock, table, lease, worker, logger: silentLogger, triggerReport: () => undefined };
        const handlers = createOrderHandlers({
            ...context,
            instanceId: `vm-${index}-${instance}`,
            isLeaving: () => false,
        });
        const watch = new AbortController();
        void runWorkerMonitor(context, watch.signal);
        return { table, lease, worker, handlers, watch };
    }
}
