import type { Worker } from "@persimmonpitch/backing/worker.js";
import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { HandlerTable } from "@persimmonpitch/protocol/method.js";
import type { OrderMethods, OrderRefusal } from "@persimmonpitch/protocol/taskMessages.js";
import type { LeaseTracker } from "./leaseTracker.js";
import type { TaskTable } from "./taskTable.js";
import { holdsResources } from "./taskTable.js";
import { applyWorkerTask } from "./workerMonitor.js";

const REFUSAL_DETAILS: Readonly<Record<OrderRefusal, string>> = {
    staleEpoch: "A newer holder of the scheduling role exists.",
    leaving: "The VM is leaving and takes no new work.",
    noCapacity: "The free accelerators, cores or memory do not suffice.",
    noReservation: "The attempt has no reservation here, or it has lapsed.",
    revoked: "The attempt was revoked.",
    duplicate: "The attempt is known here already.",
    workerUnavailable: "The worker runtime did not start the task.",
    leaseLapsed: "The lease of this agent has lapsed.",
};

/** Dependencies of the order handlers. */
export interface OrderHandlerContext {
    readonly instanceId: string;
    readonly table: TaskTable;
    readonly lease: LeaseTracker;
    readonly worker: Worker;
    readonly logger: Logger;
    readonly isLeaving: () => boolean;
    /** Wakes the entry connections, so that they send a report without waiting for the heartbeat. */
    readonly triggerReport: () => void;
}

const createRefusal = (reason: OrderRefusal) => ({ kind: "refused" as const, reason, detail: REFUSAL_DETAILS[reason] });

/** Upper bound of the lease that a task gets from the worker at its start; the worker monitor renews the lease. */
export const INITIAL_WORKER_LEASE_MS: Millis = 10_000;

/** Creates the handlers of the orders that the holder of the scheduling role sends. */
export const createOrderHandlers = (context: OrderHandlerContext): HandlerTable<OrderMethods> => {
    const { table, lease, worker, logger } = context;
    const refuse = (reason: OrderRefusal, attemptId: string) => {
        logger.log("info", "order.refused", { attempt: attemptId, reason });
        return createRefusal(reason);
    };
    return {
        "task.fence": ({ epoch }) => {
            if (!lease.acceptEpoch(epoch)) {
                return Promise.resolve(refuse("staleEpoch", ""));
            }
            const tasks = table.all().map(task => task.report);
            return Promise.resolve({ kind: "fenced", instanceId: context.instanceId, tasks });
        },
        "task.reserve": params => {
            if (!lease.acceptEpoch(params.epoch)) {
                return Promise.resolve(refuse("staleEpoch", params.attemptId));
            }
            const reason = context.isLeaving() ? "leaving" : table.reserve(params);
            return Promise.resolve(
                reason === undefined
                    ? { kind: "reserved", instanceId: context.instanceId }
                    : refuse(reason, params.attemptId),
            );
        },
        "task.start": async ({ epoch, attemptId, payload, checkpoint }) => {
            if (!lease.acceptEpoch(epoch)) {
                return refuse("staleEpoch", attemptId);
            }
            const leaseMs = Math.min(INITIAL_WORKER_LEASE_MS, lease.remainingMs());
            if (leaseMs <= 0) {
                return refuse("leaseLapsed", attemptId);
            }
            const task = table.markStarted(attemptId);
            if (task === undefined) {
                return refuse("noReservation", attemptId);
            }
            const checkpointField = checkpoint === undefined ? {} : { checkpoint };
            const { jobId } = task.report;
            const started = await worker.start({
                attemptId,
                jobId,
                devices: [...task.devices],
                leaseMs,
                payload,
                ...checkpointField,
            });
            if (started.isErr && started.error.kind === "refused") {
                table.revoke(attemptId);
                return refuse("workerUnavailable", attemptId);
            }
            // A start without a clear answer counts as started; the worker monitor detects a task that does not run.
            context.triggerReport();
            return { kind: "started" };
        },
        "task.stop": async ({ epoch, attemptId, checkpoint, graceMs }) => {
            if (!lease.acceptEpoch(epoch)) {
                return refuse("staleEpoch", attemptId);
            }
            const task = table.get(attemptId);
            if (task === undefined || task.report.state === "reserved") {
                table.revoke(attemptId);
                context.triggerReport();
                return { kind: "neverStarted", instanceId: context.instanceId };
            }
            if (holdsResources(task.report.state)) {
                table.update(attemptId, { state: "stopping" });
                const stopped = await worker.stop(attemptId, checkpoint, graceMs);
                if (stopped.isOk) {
                    applyWorkerTask(table, stopped.value);
                }
                context.triggerReport();
            }
            return { kind: "stopped", task: table.get(attemptId)?.report ?? task.report };
        },
        "task.forget": ({ epoch, attemptIds }) => {
            if (!lease.acceptEpoch(epoch)) {
                return Promise.resolve(refuse("staleEpoch", attemptIds.join(",")));
            }
            table.forget(attemptIds);
            return Promise.resolve({ kind: "forgotten" });
        },
    };
};
