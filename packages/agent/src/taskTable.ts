import type { WorkerTask } from "@persimmonpitch/backing/worker.js";
import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { ParamsOf } from "@persimmonpitch/protocol/method.js";
import type { AgentTaskState, OrderMethods, Refusal, TaskReport } from "@persimmonpitch/protocol/taskMessages.js";

/** Resources of a worker VM. */
export interface WorkerCapacity {
    readonly accelerators: number;
    readonly cores: number;
    readonly memoryMb: number;
}

/** One member of a gang on this VM. */
export interface AgentTask {
    readonly report: TaskReport;
    readonly devices: readonly number[];
    /** When an unused reservation lapses. */
    readonly reservedUntil: Millis;
    readonly startedAt: Millis | undefined;
}

type ReserveParams = ParamsOf<OrderMethods["task.reserve"]>;

/** Attempts that are remembered as revoked; an order cannot be delayed for longer than so many later ones. */
const MAX_REVOKED = 10_000;

const HOLDS_RESOURCES: Readonly<Record<AgentTaskState, boolean>> = {
    reserved: true,
    running: true,
    stopping: true,
    stopped: false,
    finished: false,
    failed: false,
};

/** Whether a task in this state holds accelerators. */
export const holdsResources = (state: AgentTaskState): boolean => HOLDS_RESOURCES[state];

/** Which accelerators of the VM are taken, and by which attempt. It is the authority on that question. */
export class TaskTable {
    private readonly tasks = new Map<string, AgentTask>();
    private readonly revoked = new Set<string>();
    private readonly changed = new Set<string>();
    private readonly removed = new Set<string>();

    constructor(private readonly clock: Clock, private readonly capacity: WorkerCapacity) {}

    get(attemptId: string): AgentTask | undefined {
        this.dropLapsed();
        return this.tasks.get(attemptId);
    }

    all(): readonly AgentTask[] {
        this.dropLapsed();
        return [...this.tasks.values()];
    }

    /** Holds resources for an attempt, or says why not. */
    reserve(params: ReserveParams): Refusal | undefined {
        this.dropLapsed();
        const { attemptId, jobId, accelerators, cores, memoryMb, spansVms } = params;
        if (this.revoked.has(attemptId)) {
            return "revoked";
        }
        if (this.tasks.has(attemptId)) {
            return "duplicate";
        }
        const free = this.free();
        if (free.devices.length < accelerators || free.cores < cores || free.memoryMb < memoryMb) {
            return "noCapacity";
        }
        this.put({
            report: { attemptId, jobId, state: "reserved", accelerators, cores, memoryMb, spansVms, progress: 0 },
            devices: free.devices.slice(0, accelerators),
            reservedUntil: this.clock.now() + params.timeToLiveMs,
            startedAt: undefined,
        });
        return undefined;
    }

    /** Turns a reservation into a running task; undefined when the reservation is not there. */
    markStarted(attemptId: string): AgentTask | undefined {
        const task = this.get(attemptId);
        if (task?.report.state !== "reserved") {
            return undefined;
        }
        return this.put({ ...task, startedAt: this.clock.now(), report: { ...task.report, state: "running" } });
    }

    /** Removes a reservation and refuses the attempt from now on. */
    revoke(attemptId: string): void {
        if (this.tasks.delete(attemptId)) {
            this.removed.add(attemptId);
        }
        this.revoked.add(attemptId);
        if (this.revoked.size > MAX_REVOKED) {
            const [oldest] = this.revoked;
            this.revoked.delete(oldest ?? attemptId);
        }
    }

    /** Records a change of a task; an ended task never changes again. */
    update(attemptId: string, change: Partial<TaskReport>): void {
        const task = this.tasks.get(attemptId);
        if (task === undefined || (!holdsResources(task.report.state) && change.state !== undefined)) {
            return;
        }
        this.put({ ...task, report: { ...task.report, ...change } });
    }

    /** Takes over a task that the worker runs from before this agent started. */
    adopt(task: WorkerTask): void {
        const report: TaskReport = {
            attemptId: task.attemptId,
            jobId: task.jobId,
            state: "running",
            accelerators: task.devices.length,
            cores: 0,
            memoryMb: 0,
            // Unknown to the worker; the stricter rule for a lapsed lease is the safe one.
            spansVms: true,
            progress: task.progress,
        };
        this.put({ report, devices: task.devices, reservedUntil: 0, startedAt: this.clock.now() });
    }

    /** Drops ended tasks whose outcome is durable. */
    forget(attemptIds: readonly string[]): void {
        for (const attemptId of attemptIds) {
            const task = this.tasks.get(attemptId);
            if (task !== undefined && !holdsResources(task.report.state)) {
                this.revoke(attemptId);
            }
        }
    }

    /** Changes since the last call. */
    takeChanges(): { readonly tasks: readonly TaskReport[]; readonly removed: readonly string[]; } {
        this.dropLapsed();
        const tasks = [...this.changed].flatMap(id => this.tasks.get(id)?.report ?? []);
        const removed = [...this.removed];
        this.changed.clear();
        this.removed.clear();
        return { tasks, removed };
    }

    get hasChanges(): boolean {
        return this.changed.size > 0 || this.removed.size > 0;
    }

    private put(task: AgentTask): AgentTask {
        this.tasks.set(task.report.attemptId, task);
        this.changed.add(task.report.attemptId);
        return task;
    }

    private free(): { readonly devices: number[]; readonly cores: number; readonly memoryMb: number; } {
        const holding = [...this.tasks.values()].filter(({ report }) => holdsResources(report.state));
        const taken = new Set(holding.flatMap(({ devices }) => devices));
        const devices = Array.from({ length: this.capacity.accelerators }, (_, device) => device)
            .filter(device => !taken.has(device));
        const cores = holding.reduce((left, { report }) => left - report.cores, this.capacity.cores);
        const memoryMb = holding.reduce((left, { report }) => left - report.memoryMb, this.capacity.memoryMb);
        return { devices, cores, memoryMb };
    }

    private dropLapsed(): void {
        const now = this.clock.now();
        for (const { report, reservedUntil } of this.tasks.values()) {
            if (report.state === "reserved" && reservedUntil <= now) {
                this.revoke(report.attemptId);
            }
        }
    }
}
