import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { AgentConnection } from "./agentTask.js";
import type { ClusterState } from "./clusterState.js";
import type { ControllerLease } from "./controllerLease.js";
import type { ExecutorState } from "./executorState.js";
import { EXECUTOR_LEASE_MS } from "./leaseRules.js";

export interface LeaseRenewerOptions {
    readonly cluster: ClusterState;
    readonly clock: Clock;
    readonly epoch: number;
    readonly controllerLease: ControllerLease;
    readonly connectionOf: (vm: string) => AgentConnection | undefined;
    /** Resolves with `true` once all changes recorded so far are durable. */
    readonly flushed: () => Promise<boolean>;
    /** Called when a lease extension has to wait for a term renewal. */
    readonly onRenewalNeeded: () => void;
    /** Called when an agent has accepted a newer controller. */
    readonly onFenced: () => void;
}

const LEASE_CALL_TIMEOUT_MS: Millis = 1_500;

/** Extends the leases of executors and acknowledges durable ends. */
export class LeaseRenewer {
    constructor(private readonly options: LeaseRenewerOptions) {}

    /** Extends the leases of an agent's executors. Returns whether the agent responded. */
    async renewAll(vm: string, connection: AgentConnection): Promise<boolean> {
        const states = [...this.options.cluster.executors.values()].filter(state =>
            state.vm === vm && state.isAttached
        );
        const answers = await Promise.all(states.map(state => this.renew(state, connection)));
        return answers.every(Boolean);
    }

    /** Acknowledges ends once their effects are durable. */
    async acknowledge(state: ExecutorState, born: number, lastEndNumber: number): Promise<void> {
        if (!await this.options.flushed() || state.born !== born || lastEndNumber <= state.durableEnd) {
            return;
        }
        state.durableEnd = lastEndNumber;
        const connection = this.options.connectionOf(state.vm);
        if (connection !== undefined) {
            await this.renew(state, connection);
        }
    }

    /** Extends the lease of one executor. Returns whether its agent responded. */
    async renew(state: ExecutorState, connection: AgentConnection): Promise<boolean> {
        const { epoch, onFenced } = this.options;
        if (state.clock === undefined) {
            return true;
        }
        // Ends of an executor that does not answer are acknowledged, but its lease has to lapse for its runs to be lost.
        if (state.isAttached) {
            this.extendDeadline(state, state.clock);
        }
        const answer = await connection.call("agent.lease", {
            epoch,
            executorId: state.executorId,
            born: state.born,
            deadlineMs: state.deadlineMs,
            durableEnd: state.durableEnd,
        }, LEASE_CALL_TIMEOUT_MS);
        if (answer.isOk && answer.value.kind === "refused" && answer.value.reason === "fence") {
            onFenced();
        }
        return answer.isOk;
    }

    private extendDeadline(state: ExecutorState, { readingMs, at }: NonNullable<ExecutorState["clock"]>): void {
        const { clock, controllerLease, onRenewalNeeded } = this.options;
        if (!controllerLease.isValid || state.controllerLeaseEndMs === undefined) {
            state.isAwaitingRenewal = true;
            onRenewalNeeded();
            return;
        }
        const now = readingMs + clock.now() - at;
        const deadlineMs = Math.floor(Math.min(now, state.controllerLeaseEndMs) + EXECUTOR_LEASE_MS);
        state.deadlineMs = Math.max(state.deadlineMs, deadlineMs);
    }
}
