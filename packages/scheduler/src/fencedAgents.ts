import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { TaskReport } from "@persimmonpitch/protocol/taskMessages.js";
import type { KnownAgent } from "./agentGateway.js";
import type { RoleContext } from "./roleContext.js";

const ORDER_TIMEOUT_MS: Millis = 5_000;

/** State of the fence order to one agent instance. */
interface AgentFence {
    readonly instanceId: string;
    readonly state: "pending" | "fenced";
}

/**
 * Tracks which agents have accepted the epoch of this holder and reported their tasks under it.
 * Jobs are placed only on these, because an order of a former holder could still take effect on any other.
 */
export class FencedAgents {
    private readonly fences = new Map<string, AgentFence>();
    private readonly stopsInProgress = new Set<string>();

    constructor(private readonly context: RoleContext) {}

    isFenced({ identity }: KnownAgent): boolean {
        const fence = this.fences.get(identity.vmId);
        return fence?.state === "fenced" && fence.instanceId === identity.instanceId;
    }

    /** Sends a fence order to agents that are new or were replaced; each success wakes the placement loop. */
    fenceNewAgents(): void {
        for (const { identity, connected } of this.context.gateway.workerAgents()) {
            const { vmId, instanceId } = identity;
            if (connected && this.fences.get(vmId)?.instanceId !== instanceId) {
                this.fences.set(vmId, { instanceId, state: "pending" });
                void this.sendFence(vmId, instanceId);
            }
        }
    }

    /** Stops tasks that belong to no known attempt, such as those started by a former holder. */
    stopOrphanedTasks(): void {
        for (const agent of this.context.gateway.workerAgents()) {
            if (this.isFenced(agent)) {
                [...agent.tasks.values()].filter(task => this.isOrphaned(task)).forEach(task => {
                    void this.stopAndForget(agent.identity.vmId, task);
                });
            }
        }
    }

    /** Tasks that hold resources but belong to no known attempt. */
    orphanedTasks(agent: KnownAgent): readonly TaskReport[] {
        return [...agent.tasks.values()].filter(task => this.isOrphaned(task) && !hasEnded(task));
    }

    private isOrphaned({ attemptId, jobId }: TaskReport): boolean {
        const job = this.context.activeJobs.get(jobId);
        // The row does not contain the attempt yet while its reservations are being made.
        const isReserving = job?.members !== undefined && job.stored.record.attempt === undefined;
        return !isReserving && job?.stored.record.attempt?.attemptId !== attemptId;
    }

    private async sendFence(vmId: string, instanceId: string): Promise<void> {
        const { gateway, role, logger, wakeSignal: placementSignal } = this.context;
        const answer = await gateway.sendOrder(vmId, "task.fence", { epoch: role.epoch }, ORDER_TIMEOUT_MS);
        if (answer.isOk && answer.value.kind === "fenced" && answer.value.instanceId === instanceId) {
            this.fences.set(vmId, { instanceId, state: "fenced" });
            placementSignal.wake();
            return;
        }
        const detail = answer.isErr ? answer.error.detail : answer.value.kind;
        logger.log("info", "fence.failed", { vm: vmId, detail });
        this.fences.delete(vmId);
    }

    private async stopAndForget(vmId: string, task: TaskReport): Promise<void> {
        const { gateway, role, logger } = this.context;
        const key = `${vmId}/${task.attemptId}`;
        if (this.stopsInProgress.has(key)) {
            return;
        }
        this.stopsInProgress.add(key);
        const { epoch } = role;
        const { attemptId } = task;
        if (!hasEnded(task)) {
            logger.log("info", "task.unknown", { vm: vmId, attempt: attemptId });
            await gateway.sendOrder(
                vmId,
                "task.stop",
                { epoch, attemptId, checkpoint: false, graceMs: 0 },
                ORDER_TIMEOUT_MS,
            );
        }
        await gateway.sendOrder(vmId, "task.forget", { epoch, attemptIds: [attemptId] }, ORDER_TIMEOUT_MS);
        this.stopsInProgress.delete(key);
    }
}

const hasEnded = ({ state }: TaskReport): boolean => state === "stopped" || state === "finished" || state === "failed";
