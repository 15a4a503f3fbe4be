import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type {
    AgentIdentity,
    AgentReport,
    AgentToEntryMethods,
    EntryToAgentMethods,
} from "@persimmonpitch/protocol/agentMessages.js";
import type { CallError, Connection } from "@persimmonpitch/protocol/connection.js";
import type { ParamsOf, ResultOf } from "@persimmonpitch/protocol/method.js";
import type { AgentUpdate } from "@persimmonpitch/protocol/peerMessages.js";
import type { OrderMethods, TaskReport } from "@persimmonpitch/protocol/taskMessages.js";
import type { AgentGateway, KnownAgent } from "@persimmonpitch/scheduler/agentGateway.js";
import { Result } from "true-myth";

/** Connection between an agent and this entry. */
export type AgentConnection = Connection<AgentToEntryMethods, EntryToAgentMethods>;

/** Relays an order to an agent through the peer to which the agent is connected. */
export type RelayOrder = (
    peerId: string,
    agent: AgentIdentity,
    method: keyof OrderMethods,
    params: unknown,
    timeoutMs: Millis,
) => Promise<Result<unknown, CallError>>;

interface RegisteredAgent extends KnownAgent {
    lastReportAt: Millis;
    connected: boolean;
    leaving: boolean;
    inFlight: number;
    tasks: Map<string, TaskReport>;
    readonly identity: AgentIdentity;
    /** Connection to this entry; undefined while the agent is connected to a peer or to no entry. */
    connection: AgentConnection | undefined;
    /** Peer that reported the agent; undefined for an agent that last connected to this entry. */
    peerId: string | undefined;
}

/** Receives each change of an agent's state, with the ids of the attempts that it affects. */
export type AgentChangeListener = (agent: KnownAgent, attemptIds: readonly string[]) => void;

/** Registry of all agents in the region, those connected to this entry and those that its peers report. */
export class AgentRegistry implements AgentGateway {
    private readonly agents = new Map<string, RegisteredAgent>();
    /** Changes of locally connected agents since the last call of `takePendingUpdates`, by VM. */
    private readonly pendingChanges = new Map<string, { full: boolean; readonly attemptIds: Set<string>; }>();
    private readonly listeners: AgentChangeListener[] = [];

    constructor(private readonly clock: Clock, private readonly relayOrder: RelayOrder) {}

    onChange(listener: AgentChangeListener): void {
        this.listeners.push(listener);
    }

    workerAgents(): readonly KnownAgent[] {
        return [...this.agents.values()].filter(({ identity }) => identity.kind === "worker");
    }

    workerAgent(vmId: string): KnownAgent | undefined {
        const agent = this.agents.get(vmId);
        return agent?.identity.kind === "worker" ? agent : undefined;
    }

    /** Agents of all kinds that are connected to this entry, with their connections. */
    localConnections(): readonly { readonly identity: AgentIdentity; readonly connection: AgentConnection; }[] {
        return [...this.agents.values()].flatMap(({ identity, connection }) =>
            connection === undefined ? [] : [{ identity, connection }]
        );
    }

    /** Last reported load of an executor; an unknown executor counts as leaving. */
    executorLoad(vmId: string): { readonly inFlight: number; readonly leaving: boolean; } {
        const agent = this.agents.get(vmId);
        return { inFlight: agent?.inFlight ?? 0, leaving: agent?.leaving ?? true };
    }

    /** Registers the connection of an agent and closes an older connection from the same VM. */
    addConnection(identity: AgentIdentity, connection: AgentConnection): void {
        const known = this.agents.get(identity.vmId);
        if (known?.connection !== undefined && known.connection !== connection) {
            known.connection.close();
        }
        const isSameInstance = known?.identity.instanceId === identity.instanceId;
        const agent: RegisteredAgent = {
            identity,
            connection,
            peerId: undefined,
            connected: true,
            lastReportAt: this.clock.now(),
            leaving: false,
            inFlight: 0,
            tasks: isSameInstance ? known.tasks : new Map<string, TaskReport>(),
        };
        this.agents.set(identity.vmId, agent);
        this.addPendingChange(identity.vmId, true, []);
        this.notify(agent, known === undefined ? [] : [...known.tasks.keys()]);
    }

    /** Applies a report of a locally connected agent; a report on a replaced connection is ignored. */
    recordReport(vmId: string, connection: AgentConnection, report: AgentReport): void {
        const agent = this.agents.get(vmId);
        if (agent?.connection === connection) {
            this.applyReport(agent, report, this.clock.now());
        }
    }

    /** Marks the agent as disconnected when its current connection ends; the end of a replaced one is ignored. */
    removeConnection(vmId: string, connection: AgentConnection): void {
        const agent = this.agents.get(vmId);
        if (agent?.connection === connection) {
            agent.connection = undefined;
            agent.connected = false;
            this.addPendingChange(vmId, false, []);
            this.notify(agent, []);
        }
    }

    /**
     * Applies a peer's update about one of its agents. A local connection takes precedence, and only the peer that
     * last reported the agent may report it as disconnected.
     */
    recordPeerUpdate(peerId: string, update: AgentUpdate): void {
        const { identity, connected, silentMs, report } = update;
        const known = this.agents.get(identity.vmId);
        if (known?.connection !== undefined || (known?.peerId !== peerId && !connected)) {
            return;
        }
        const isSameInstance = known?.identity.instanceId === identity.instanceId;
        const agent: RegisteredAgent = {
            identity,
            connection: undefined,
            peerId,
            connected,
            lastReportAt: this.clock.now() - silentMs,
            leaving: isSameInstance && known.leaving,
            inFlight: 0,
            tasks: isSameInstance ? known.tasks : new Map<string, TaskReport>(),
        };
        this.agents.set(identity.vmId, agent);
        if (report !== undefined) {
            this.applyReport(agent, report, agent.lastReportAt);
        }
        else {
            this.notify(agent, []);
        }
    }

    /**
     * Records a heartbeat of a peer, which counts as a report of each of its connected agents. The peer's grants to its
     * agents count from the time at which it sent a heartbeat, so a lease counted from the receipt of the heartbeat
     * never appears to expire before the actual lease does.
     */
    recordPeerHeartbeat(peerId: string): void {
        const now = this.clock.now();
        for (const agent of this.agents.values()) {
            if (agent.peerId === peerId && agent.connected) {
                agent.lastReportAt = now;
            }
        }
    }

    /** Marks the agents of a peer as disconnected when the connection to the peer ends. */
    recordPeerDisconnect(peerId: string): void {
        for (const agent of this.agents.values()) {
            if (agent.peerId === peerId && agent.connected) {
                agent.connected = false;
                this.notify(agent, []);
            }
        }
    }

    /**
     * Returns updates about the local worker agents for the role holder, complete or limited to the changes since the
     * last call, and clears the pending changes.
     */
    takePendingUpdates(full: boolean): readonly AgentUpdate[] {
        const updates = [...this.agents.values()]
            .filter(({ identity, peerId }) => peerId === undefined && identity.kind === "worker")
            .filter(({ identity }) => full || this.pendingChanges.has(identity.vmId))
            .map(agent => this.createUpdate(agent, full));
        this.pendingChanges.clear();
        return updates;
    }

    async sendOrder<Name extends keyof OrderMethods>(
        vmId: string,
        name: Name,
        params: ParamsOf<OrderMethods[Name]>,
        timeoutMs: Millis,
    ): Promise<Result<ResultOf<OrderMethods[Name]>, CallError>> {
        const agent = this.agents.get(vmId);
        if (agent?.connection !== undefined) {
            return this.sendOrderOnConnection(agent.connection, name, params, timeoutMs);
        }
        if (agent?.peerId === undefined || !agent.connected) {
            return Result.err({ kind: "notSent", detail: `The agent of ${vmId} is not connected.` });
        }
        const relayed = await this.relayOrder(agent.peerId, agent.identity, name, params, timeoutMs);
        return relayed.map(result => result as ResultOf<OrderMethods[Name]>);
    }

    private async sendOrderOnConnection<Name extends keyof OrderMethods>(
        connection: AgentConnection,
        name: Name,
        params: ParamsOf<OrderMethods[Name]>,
        timeoutMs: Millis,
    ): Promise<Result<ResultOf<OrderMethods[Name]>, CallError>> {
        const answer = await connection.call(name, params, timeoutMs);
        return answer.map(result => result as ResultOf<OrderMethods[Name]>);
    }

    private applyReport(agent: RegisteredAgent, report: AgentReport, receivedAt: Millis): void {
        agent.lastReportAt = receivedAt;
        const hasChanged = report.full || report.tasks.length > 0 || report.removed.length > 0
            || agent.leaving !== report.leaving || agent.identity.kind === "executor";
        agent.leaving = report.leaving;
        agent.inFlight = report.inFlight;
        if (!hasChanged) {
            // A heartbeat without changes only renews the lease. Forwarding each one would exceed the role holder's
            // processing budget.
            return;
        }
        const previousAttemptIds = report.full ? [...agent.tasks.keys()] : [];
        if (report.full) {
            agent.tasks.clear();
        }
        report.tasks.forEach(task => agent.tasks.set(task.attemptId, task));
        report.removed.forEach(attemptId => agent.tasks.delete(attemptId));
        const attemptIds = [...previousAttemptIds, ...report.tasks.map(task => task.attemptId), ...report.removed];
        if (agent.peerId === undefined) {
            this.addPendingChange(agent.identity.vmId, report.full, attemptIds);
        }
        this.notify(agent, attemptIds);
    }

    /** Creates an update for the role holder: the full state, or only the attempts with pending changes. */
    private createUpdate(agent: RegisteredAgent, full: boolean): AgentUpdate {
        const { identity, connected, lastReportAt, leaving, inFlight, tasks } = agent;
        const pendingChange = this.pendingChanges.get(identity.vmId);
        const isFull = full || pendingChange?.full === true;
        const attemptIds = isFull ? [...tasks.keys()] : [...pendingChange?.attemptIds ?? []];
        const report: AgentReport = {
            full: isFull,
            leaving,
            configVersion: 0,
            inFlight,
            tasks: attemptIds.flatMap(id => tasks.get(id) ?? []),
            removed: isFull ? [] : attemptIds.filter(id => !tasks.has(id)),
            orphanedRecords: [],
        };
        return { identity, connected, silentMs: this.clock.now() - lastReportAt, report };
    }

    /** Adds a change that the next call of `takePendingUpdates` returns. */
    private addPendingChange(vmId: string, full: boolean, attemptIds: readonly string[]): void {
        const pendingChange = this.pendingChanges.get(vmId) ?? { full: false, attemptIds: new Set<string>() };
        pendingChange.full ||= full;
        attemptIds.forEach(id => pendingChange.attemptIds.add(id));
        this.pendingChanges.set(vmId, pendingChange);
    }

    private notify(agent: RegisteredAgent, attemptIds: readonly string[]): void {
        this.listeners.forEach(listener => {
            listener(agent, attemptIds);
        });
    }
}
