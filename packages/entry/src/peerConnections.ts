import { backoffDelay } from "@persimmonpitch/clock/backoff.js";
import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { CallError } from "@persimmonpitch/protocol/connection.js";
import { Connection } from "@persimmonpitch/protocol/connection.js";
import type { Link } from "@persimmonpitch/protocol/link.js";
import type { ResultOf } from "@persimmonpitch/protocol/method.js";
import type { AgentUpdate, PeerMethods } from "@persimmonpitch/protocol/peerMessages.js";
import { peerMethods } from "@persimmonpitch/protocol/peerMessages.js";
import type { Result } from "true-myth";
import type { AgentRegistry } from "./agentRegistry.js";
import type { ConfigStore } from "./configStore.js";
import type { PeerAddress } from "./entrySettings.js";
import type { LeaseGranter } from "./leaseGranter.js";

/** Connection that this entry opened to another entry. */
export type PeerConnection = Connection<Record<string, never>, PeerMethods>;

/** Opens a transport link to a peer; the error is a description. */
export type OpenPeerLink = (address: PeerAddress) => Promise<Result<Link, string>>;

/** Dependencies of the tasks that connect to the peers. */
export interface PeerConnectionsOptions {
    readonly entryId: string;
    readonly region: string;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly registry: AgentRegistry;
    readonly leaseGranter: LeaseGranter;
    readonly configStore: ConfigStore;
    readonly openLink: OpenPeerLink;
    /** Returns a random number from 0 to 1, for the jitter of reconnection delays. */
    readonly random: () => number;
}

const CALL_TIMEOUT_MS: Millis = 3_000;
const HEARTBEAT_INTERVAL_MS: Millis = 2_000;

/** Delay before changes are sent, so that a burst of changes shares one message and its traffic is bounded. */
const COALESCE_DELAY_MS: Millis = 50;
const RECONNECT_BACKOFF = { baseMs: 200, maxMs: 5_000 };

/** Connections to the other entries of the region, each maintained by its own task. */
export class PeerConnections {
    private readonly connections = new Map<string, PeerConnection>();
    private readonly wakeSignals = new Map<string, WakeSignal>();
    private readonly pendingJobIds = new Map<string, Set<string>>();

    constructor(private readonly options: PeerConnectionsOptions, private readonly addresses: readonly PeerAddress[]) {
        addresses.forEach(({ id }) => {
            this.wakeSignals.set(id, new WakeSignal());
            this.pendingJobIds.set(id, new Set());
        });
    }

    /** Returns the connection to a peer, if it is open and the peer has identified itself. */
    connectionTo(peerId: string): PeerConnection | undefined {
        return this.connections.get(peerId);
    }

    /** Sends all peers a report soon, after agents, jobs or the configuration have changed. */
    notify(jobIds: readonly string[] = []): void {
        this.pendingJobIds.forEach(pending => {
            jobIds.forEach(jobId => pending.add(jobId));
        });
        this.wakeSignals.forEach(signal => {
            signal.wake();
        });
    }

    /** Runs one task for each peer until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        await Promise.all(this.addresses.map(address => this.maintainConnection(address, signal)));
    }

    /** Reconnects to a peer with exponential backoff until `signal` aborts. */
    private async maintainConnection(address: PeerAddress, signal: AbortSignal): Promise<void> {
        let failures = 0;
        while (!signal.aborted) {
            const wasConnected = await this.connectAndReport(address, signal);
            failures = wasConnected ? 0 : failures + 1;
            await this.options.clock.sleep(backoffDelay(RECONNECT_BACKOFF, failures, this.options.random), signal);
        }
    }

    /** Opens a connection, verifies the peer and reports to it until the connection ends; returns whether it was verified. */
    private async connectAndReport(address: PeerAddress, signal: AbortSignal): Promise<boolean> {
        const { clock, logger, entryId, region } = this.options;
        const opened = await this.options.openLink(address);
        if (opened.isErr) {
            return false;
        }
        const connection: PeerConnection = new Connection({
            link: opened.value,
            clock,
            local: {},
            remote: peerMethods,
            handlers: {},
        });
        const close = () => {
            connection.close();
        };
        signal.addEventListener("abort", close);
        const connectionEnded = connection.run();
        const hello = await connection.call("peer.hello", { entryId, region }, CALL_TIMEOUT_MS);
        const isExpectedPeer = hello.isOk && hello.value.entryId === address.id && hello.value.region === region;
        if (isExpectedPeer) {
            logger.log("info", "peer.connected", { peer: address.id });
            this.connections.set(address.id, connection);
            await this.reportUntilClosed(address.id, connection);
            this.connections.delete(address.id);
            this.options.registry.recordPeerDisconnect(address.id);
            logger.log("info", "peer.disconnected", { peer: address.id });
        }
        connection.close();
        await connectionEnded;
        signal.removeEventListener("abort", close);
        return isExpectedPeer;
    }

    /**
     * Sends heartbeats until the connection ends. Only the role holder receives updates about agents, and a new holder
     * first receives the full state of all of them.
     */
    private async reportUntilClosed(peerId: string, connection: PeerConnection): Promise<void> {
        const { clock, registry, leaseGranter, configStore } = this.options;
        const wakeSignal = this.wakeSignals.get(peerId) ?? new WakeSignal();
        const pendingJobIds = this.pendingJobIds.get(peerId) ?? new Set<string>();
        /** Epoch of the holder to which the agents were last reported; 0 if the peer was not the holder. */
        let reportedEpoch = 0;
        let isHolder = false;
        let epoch = 0;
        while (connection.isOpen) {
            const full: boolean = isHolder && reportedEpoch !== epoch;
            const agentUpdates: AgentUpdate[] = isHolder ? [...registry.takePendingUpdates(full)] : [];
            const jobIds = [...pendingJobIds];
            pendingJobIds.clear();
            const sentAt = clock.now();
            const answer: Result<ResultOf<PeerMethods["peer.report"]>, CallError> = await connection.call(
                "peer.report",
                {
                    isHolder: leaseGranter.isHolder,
                    full,
                    agents: agentUpdates,
                    configVersion: configStore.version,
                    jobIds,
                },
                CALL_TIMEOUT_MS,
            );
            if (answer.isErr) {
                return;
            }
            reportedEpoch = isHolder ? epoch : 0;
            ({ isHolder, epoch } = answer.value);
            leaseGranter.recordPeerAnswer(peerId, answer.value, sentAt);
            if (answer.value.configVersion > configStore.version) {
                await configStore.refresh();
            }
            const isNewHolder = isHolder && reportedEpoch !== epoch;
            if (!isNewHolder) {
                await wakeSignal.wait(clock, HEARTBEAT_INTERVAL_MS);
                await clock.sleep(COALESCE_DELAY_MS);
            }
        }
    }
}
