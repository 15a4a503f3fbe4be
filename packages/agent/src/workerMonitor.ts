import type { TaskState, Worker, WorkerTask } from "@persimmonpitch/backing/worker.js";
import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { AgentTaskState, TaskReport } from "@persimmonpitch/protocol/taskMessages.js";
import type { LeaseTracker } from "./leaseTracker.js";
import type { AgentTask, TaskTable } from "./taskTable.js";
import { holdsResources } from "./taskTable.js";

/** Dependencies of the worker monitor. */
export interface WorkerMonitorContext {
    readonly clock: Clock;
    readonly table: TaskTable;
    readonly lease: LeaseTracker;
    readonly worker: Worker;
    readonly logger: Logger;
    readonly triggerReport: () => void;
}

/** Interval between two queries of the worker's tasks. */
const POLL_INTERVAL_MS: Millis = 1_000;

/** Interval between two renewals of the task leases at the worker. */
const RENEW_INTERVAL_MS: Millis = 3_000;

/** Upper bound of a task's lease at the worker, so that tasks stop soon after this agent stops. */
const MAX_WORKER_LEASE_MS: Millis = 10_000;

/** A started task may be missing from the worker's answer for this long before it counts as failed. */
const START_VISIBILITY_TIMEOUT_MS: Millis = 5_000;

/** Progress is reported when it has grown by this share of the work, so that long tasks cause few messages. */
const MIN_PROGRESS_CHANGE = 0.1;

const AGENT_STATES: Readonly<Record<TaskState, AgentTaskState>> = {
    held: "running",
    running: "running",
    stopped: "stopped",
    finished: "finished",
    failed: "failed",
};

/** Updates a task of the table with its state at the worker. */
export const applyWorkerTask = (table: TaskTable, { attemptId, state, ...reported }: WorkerTask): void => {
    const known = table.get(attemptId)?.report;
    if (known === undefined || !holdsResources(known.state)) {
        return;
    }
    const next = AGENT_STATES[state];
    if (!holdsResources(next)) {
        const { progress, checkpoint, result, error } = reported;
        table.update(attemptId, omitUndefined({ state: next, progress, checkpoint, result, error }));
    }
    else if (reported.progress >= known.progress + MIN_PROGRESS_CHANGE || reported.checkpoint !== known.checkpoint) {
        table.update(attemptId, omitUndefined({ progress: reported.progress, checkpoint: reported.checkpoint }));
    }
};

type PartialWithUndefined<T> = { [Key in keyof T]?: T[Key] | undefined; };

const omitUndefined = (fields: PartialWithUndefined<TaskReport>): Partial<TaskReport> =>
    Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined));

const failMissingTask = (context: WorkerMonitorContext, { report, startedAt }: AgentTask): void => {
    if (startedAt === undefined || context.clock.now() - startedAt < START_VISIBILITY_TIMEOUT_MS) {
        return;
    }
    context.logger.log("warn", "task.missing", { attempt: report.attemptId });
    context.table.update(report.attemptId, { state: "failed", error: "The worker no longer knows the task." });
};

const stopTasksSpanningVms = async (context: WorkerMonitorContext): Promise<void> => {
    const spanningTasks = context.table.all().filter(({ report }) => report.state === "running" && report.spansVms);
    for (const { report } of spanningTasks) {
        context.logger.log("warn", "task.leaseLapsed", { attempt: report.attemptId, job: report.jobId });
        context.table.update(report.attemptId, { state: "stopping" });
        const stopped = await context.worker.stop(report.attemptId, true, POLL_INTERVAL_MS);
        if (stopped.isOk) {
            applyWorkerTask(context.table, stopped.value);
        }
    }
};

const renewWorkerLeases = async (context: WorkerMonitorContext): Promise<void> => {
    const remainingMs = context.lease.remainingMs();
    const running = context.table.all().filter(({ report }) => report.state === "running");
    // A gang entirely on this VM keeps running without the agent's lease: none of its members can be lost elsewhere.
    const renewable = remainingMs > 0 ? running : running.filter(({ report }) => !report.spansVms);
    if (renewable.length === 0) {
        return;
    }
    const leaseMs = remainingMs > 0 ? Math.min(MAX_WORKER_LEASE_MS, remainingMs) : MAX_WORKER_LEASE_MS;
    await context.worker.renewLeases(renewable.map(({ report }) => report.attemptId), leaseMs);
};

const pollWorkerTasks = async (context: WorkerMonitorContext): Promise<void> => {
    const listed = await context.worker.listTasks();
    if (listed.isErr) {
        context.logger.log("warn", "worker.unavailable", { detail: listed.error.detail });
        return;
    }
    const workerTasks = new Map(listed.value.map(task => [task.attemptId, task]));
    for (const task of context.table.all().filter(({ report }) => holdsResources(report.state))) {
        const workerTask = workerTasks.get(task.report.attemptId);
        if (workerTask !== undefined) {
            applyWorkerTask(context.table, workerTask);
        }
        else if (task.report.state !== "reserved") {
            failMissingTask(context, task);
        }
    }
    if (context.table.hasChanges) {
        context.triggerReport();
    }
};

/** Adopts the tasks that the worker was already running when this agent started. */
export const adoptWorkerTasks = async (context: WorkerMonitorContext): Promise<void> => {
    const listed = await context.worker.listTasks();
    if (listed.isErr) {
        context.logger.log("warn", "worker.unavailable", { detail: listed.error.detail });
        return;
    }
    listed.value.filter(task => AGENT_STATES[task.state] === "running").forEach(task => {
        context.logger.log("info", "task.adopted", { attempt: task.attemptId, job: task.jobId });
        context.table.adopt(task);
    });
};

/**
 * Polls the worker runtime until `signal` aborts: renews the task leases, updates the table with the state of the
 * tasks, and stops tasks that span VMs once the agent's lease has expired.
 */
export const runWorkerMonitor = async (context: WorkerMonitorContext, signal: AbortSignal): Promise<void> => {
    let renewAt = context.clock.now();
    while (!signal.aborted) {
        if (context.lease.isExpired) {
            await stopTasksSpanningVms(context);
        }
        if (context.clock.now() >= renewAt) {
            renewAt = context.clock.now() + RENEW_INTERVAL_MS;
            await renewWorkerLeases(context);
        }
        if (context.table.all().some(({ report }) => holdsResources(report.state))) {
            await pollWorkerTasks(context);
        }
        await context.clock.sleep(POLL_INTERVAL_MS, signal);
    }
};
