import type { BackoffOptions } from "@persimmonpitch/clock/backoff.js";
import { backoffDelay } from "@persimmonpitch/clock/backoff.js";
import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import { Connection } from "@persimmonpitch/protocol/connection.js";
import type { StoreMethods, StoreTable } from "@persimmonpitch/protocol/storeMessages.js";
import { storeMethods } from "@persimmonpitch/protocol/storeMessages.js";
import type { StoredRow } from "@persimmonpitch/workload/storedRow.js";
import type { ConfigHolder } from "./configHolder.js";
import type { ConnectLink } from "./controllerContext.js";
import type { EvacuationHolder } from "./evacuationHolder.js";
import type { PeerRoute } from "./forwardingStore.js";
import { KeyedTasks } from "./keyedTasks.js";
import { PeerStore } from "./peerStore.js";
import { PeerTakeover, sharedConfig, sharedEvacuation } from "./peerTakeover.js";
import type { Replica } from "./replica.js";

export interface PeerLinksOptions {
    readonly vm: string;
    readonly replica: Replica;
    readonly config: ConfigHolder;
    readonly evacuation: EvacuationHolder;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly connect: ConnectLink;
    readonly random: () => number;
    /** Called when a peer that was connected refuses a connection: it is down, or a partition refuses it. */
    readonly onRefused: (instanceId: string) => void;
}

type PeerConnection = Connection<Record<string, never>, StoreMethods>;

/** Open connection to a peer with its last reported state. */
interface ConnectedPeer {
    readonly vm: string;
    readonly connection: PeerConnection;
    /** How long ago the store last answered the peer directly; `Infinity` until the peer reports it. */
    storeAgeMs: Millis;
}

const CONNECT_TIMEOUT_MS: Millis = 700;
const RETRY_BACKOFF: BackoffOptions = { baseMs: 200, maxMs: 2_000 };
const CHECK_INTERVAL_MS: Millis = 1_000;
const PING_INTERVAL_MS: Millis = 1_000;
const PING_TIMEOUT_MS: Millis = 600;
const ANNOUNCE_TIMEOUT_MS: Millis = 600;
/** An idle poll of the store returns after 1 s, a ping after another second, and both are late on a busy VM. */
const MAX_SERVED_STORE_AGE_MS: Millis = 3_000;

/**
 * Connections to the other entries. They carry forwarded store calls and newer state from operator rows, and show
 * immediately when an entry dies.
 */
export class PeerLinks {
    private readonly peers = new Map<string, ConnectedPeer>();
    private readonly tasks: KeyedTasks;
    private readonly configTakeover: PeerTakeover;
    private readonly evacuationTakeover: PeerTakeover;

    constructor(private readonly options: PeerLinksOptions) {
        this.configTakeover = new PeerTakeover(sharedConfig(options.config));
        this.evacuationTakeover = new PeerTakeover(sharedEvacuation(options.evacuation));
        this.tasks = new KeyedTasks({ name: "peer", clock: options.clock, logger: options.logger });
    }

    /** Runs one task per peer until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { replica, clock, vm } = this.options;
        while (!signal.aborted) {
            for (const peer of replica.entries.keys()) {
                if (peer !== vm) {
                    this.tasks.start(peer, peerSignal => this.keepConnected(peer, peerSignal));
                }
            }
            await clock.sleep(CHECK_INTERVAL_MS, signal);
        }
        await this.tasks.end();
    }

    /** Whether other entries are known but no connection to any of them is open. */
    get isIsolated(): boolean {
        const { replica, vm } = this.options;
        const hasPeers = [...replica.entries.keys()].some(peer => peer !== vm);
        return hasPeers && this.openPeers().length === 0;
    }

    /** The connected peers that the store has answered lately. */
    vmsServedByStore(): readonly string[] {
        return this.openPeers().filter(({ storeAgeMs }) => storeAgeMs <= MAX_SERVED_STORE_AGE_MS).map(({ vm }) => vm);
    }

    /** Routes to the store through connected peers, starting with the peer that the store answered most recently. */
    routes(table: StoreTable): readonly PeerRoute[] {
        return [...this.openPeers()]
            .sort((left, right) => left.storeAgeMs < right.storeAgeMs ? -1 : Number(left.storeAgeMs > right.storeAgeMs))
            .map(({ vm, connection }) => ({ vm, store: new PeerStore(connection, table) }));
    }

    /**
     * Sends committed rows to the connected peers without waiting for responses. A peer that misses the call reads the
     * rows from the store.
     */
    announce(rows: readonly StoredRow[]): void {
        for (const { connection } of this.peers.values()) {
            void connection.call("store.changed", { rows: [...rows] }, ANNOUNCE_TIMEOUT_MS);
        }
    }

    private openPeers(): readonly ConnectedPeer[] {
        return [...this.peers.values()].filter(({ connection }) => connection.isOpen);
    }

    /** Pings the peer, takes over newer state, and closes the connection once the peer stops responding. */
    private async keepAlive(peer: ConnectedPeer, signal: AbortSignal): Promise<void> {
        const { clock } = this.options;
        const { connection } = peer;
        while (connection.isOpen && !signal.aborted) {
            const answer = await connection.call("store.ping", {}, PING_TIMEOUT_MS);
            if (answer.isErr) {
                break;
            }
            peer.storeAgeMs = answer.value.storeAgeMs ?? Infinity;
            await this.evacuationTakeover.takeIfNewer(peer.vm, connection, answer.value.evacuationVersion);
            await this.configTakeover.takeIfNewer(peer.vm, connection, answer.value.configVersion);
            await clock.sleep(PING_INTERVAL_MS, signal);
        }
        connection.close();
    }

    private async keepConnected(peer: string, signal: AbortSignal): Promise<void> {
        const { replica, clock, connect, random, logger, onRefused } = this.options;
        let failures = 0;
        let lastInstance: string | undefined;
        while (!signal.aborted) {
            const row = replica.entries.get(peer)?.value;
            if (row === undefined) {
                return;
            }
            const link = await connect(row, CONNECT_TIMEOUT_MS);
            if (link.isErr) {
                failures += 1;
                if (link.error.isRefused && lastInstance !== undefined) {
                    logger.log("info", "peer.refused", { vm: peer });
                    onRefused(lastInstance);
                    lastInstance = undefined;
                }
                await clock.sleep(backoffDelay(RETRY_BACKOFF, failures, random), signal);
                continue;
            }
            failures = 0;
            lastInstance = row.instanceId;
            const connection: PeerConnection = new Connection({
                link: link.value,
                clock,
                local: {},
                remote: storeMethods,
                handlers: {},
            });
            const connectedPeer: ConnectedPeer = { vm: peer, connection, storeAgeMs: Infinity };
            this.peers.set(peer, connectedPeer);
            logger.log("info", "peer.connected", { vm: peer });
            await Promise.all([connection.run(), this.keepAlive(connectedPeer, signal)]);
            this.peers.delete(peer);
            logger.log("info", "peer.disconnected", { vm: peer });
        }
    }
}
