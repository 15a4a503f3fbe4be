import type { WorkerTask } from "@persimmonpitch/backing/worker.js";
import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { ParamsOf } from "@persimmonpitch/protocol/method.js";
import type { AgentTaskState, OrderMethods, OrderRefusal, TaskReport } from "@persimmonpitch/protocol/taskMessages.js";

/** Resources of a worker VM. */
export interface WorkerCapacity {
    readonly accelerators: number;
    readonly cores: number;
    readonly memoryMb: number;
}

/** One member of a gang on this VM, with its accelerators. */
export interface AgentTask {
    readonly report: TaskReport;
    readonly devices: readonly number[];
    /** When the reservation expires unless the task starts. */
    readonly reservedUntil: Millis;
    readonly startedAt: Millis | undefined;
}

type ReserveParams = ParamsOf<OrderMethods["task.reserve"]>;

/** Revoked attempts that are remembered; no order is expected to be delayed past this many later revocations. */
const MAX_REVOKED_ATTEMPTS = 10_000;

const HOLDS_RESOURCES: Readonly<Record<AgentTaskState, boolean>> = {
    reserved: true,
    running: true,
    stopping: true,
    stopped: false,
    finished: false,
    failed: false,
};

/** Whether a task in this state holds accelerators, cores and memory. */
export const holdsResources = (state: AgentTaskState): boolean => HOLDS_RESOURCES[state];

/** The authoritative record of which attempt holds which accelerators of the VM. */
export class TaskTable {
    private readonly tasks = new Map<string, AgentTask>();
    private readonly revokedAttempts = new Set<string>();
    private readonly changedAttempts = new Set<string>();
    private readonly removedAttempts = new Set<string>();

    constructor(private readonly clock: Clock, private readonly capacity: WorkerCapacity) {}

    get(attemptId: string): AgentTask | undefined {
        this.expireReservations();
        return this.tasks.get(attemptId);
    }

    all(): readonly AgentTask[] {
        this.expireReservations();
        return [...this.tasks.values()];
    }

    /** Reserves resources for an attempt, or returns why it cannot. */
    reserve(params: ReserveParams): OrderRefusal | undefined {
        this.expireReservations();
        const { attemptId, jobId, accelerators, cores, memoryMb, spansVms } = params;
        if (this.revokedAttempts.has(attemptId)) {
            return "revoked";
        }
        if (this.tasks.has(attemptId)) {
            return "duplicate";
        }
        const free = this.freeResources();
        if (free.devices.length < accelerators || free.cores < cores || free.memoryMb < memoryMb) {
            return "noCapacity";
        }
        this.upsert({
            report: { attemptId, jobId, state: "reserved", accelerators, cores, memoryMb, spansVms, progress: 0 },
            devices: free.devices.slice(0, accelerators),
            reservedUntil: this.clock.now() + params.timeToLiveMs,
            startedAt: undefined,
        });
        return undefined;
    }

    /** Turns a reservation into a running task; returns undefined when there is no reservation. */
    markStarted(attemptId: string): AgentTask | undefined {
        const task = this.get(attemptId);
        if (task?.report.state !== "reserved") {
            return undefined;
        }
        return this.upsert({ ...task, startedAt: this.clock.now(), report: { ...task.report, state: "running" } });
    }

    /** Removes the task of an attempt, if there is one, and refuses all later reservations of the attempt. */
    revoke(attemptId: string): void {
        if (this.tasks.delete(attemptId)) {
            this.removedAttempts.add(attemptId);
        }
        this.revokedAttempts.add(attemptId);
        if (this.revokedAttempts.size > MAX_REVOKED_ATTEMPTS) {
            const [oldest] = this.revokedAttempts;
            this.revokedAttempts.delete(oldest ?? attemptId);
        }
    }

    /** Changes fields of a task; the state of an ended task does not change again. */
    update(attemptId: string, change: Partial<TaskReport>): void {
        const task = this.tasks.get(attemptId);
        if (task === undefined || (!holdsResources(task.report.state) && change.state !== undefined)) {
            return;
        }
        this.upsert({ ...task, report: { ...task.report, ...change } });
    }

    /** Adds a task that the worker was already running when this agent started. */
    adopt(task: WorkerTask): void {
        const report: TaskReport = {
            attemptId: task.attemptId,
            jobId: task.jobId,
            state: "running",
            accelerators: task.devices.length,
            cores: 0,
            memoryMb: 0,
            // The worker does not know this. True is safe: tasks that span VMs are stopped when the lease expires.
            spansVms: true,
            progress: task.progress,
        };
        this.upsert({ report, devices: task.devices, reservedUntil: 0, startedAt: this.clock.now() });
    }

    /** Removes ended tasks, whose outcome is durable; tasks that still hold resources stay. */
    forget(attemptIds: readonly string[]): void {
        for (const attemptId of attemptIds) {
            const task = this.tasks.get(attemptId);
            if (task !== undefined && !holdsResources(task.report.state)) {
                this.revoke(attemptId);
            }
        }
    }

    /** Returns the tasks changed and removed since the last call. */
    takeChanges(): { readonly tasks: readonly TaskReport[]; readonly removed: readonly string[]; } {
        this.expireReservations();
        const tasks = [...this.changedAttempts].flatMap(id => this.tasks.get(id)?.report ?? []);
        const removed = [...this.removedAttempts];
        this.changedAttempts.clear();
        this.removedAttempts.clear();
        return { tasks, removed };
    }

    get hasChanges(): boolean {
        return this.changedAttempts.size > 0 || this.removedAttempts.size > 0;
    }

    private upsert(task: AgentTask): AgentTask {
        this.tasks.set(task.report.attemptId, task);
        this.changedAttempts.add(task.report.attemptId);
        return task;
    }

    private freeResources(): { readonly devices: number[]; readonly cores: number; readonly memoryMb: number; } {
        const holdingTasks = [...this.tasks.values()].filter(({ report }) => holdsResources(report.state));
        const devicesInUse = new Set(holdingTasks.flatMap(({ devices }) => devices));
        const devices = Array.from({ length: this.capacity.accelerators }, (_, device) => device)
            .filter(device => !devicesInUse.has(device));
        const cores = holdingTasks.reduce((remaining, { report }) => remaining - report.cores, this.capacity.cores);
        const memoryMb = holdingTasks.reduce(
            (remaining, { report }) => remaining - report.memoryMb,
            this.capacity.memoryMb,
        );
        return { devices, cores, memoryMb };
    }

    private expireReservations(): void {
        const now = this.clock.now();
        for (const { report, reservedUntil } of this.tasks.values()) {
            if (report.state === "reserved" && reservedUntil <= now) {
                this.revoke(report.attemptId);
            }
        }
    }
}
