import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { Connection } from "@persimmonpitch/protocol/connection.js";
import type { StoreMethods } from "@persimmonpitch/protocol/storeMessages.js";
import type { ConfigHolder } from "./configHolder.js";
import type { EvacuationHolder } from "./evacuationHolder.js";

const READ_TIMEOUT_MS: Millis = 600;

type PeerConnection = Connection<Record<string, never>, StoreMethods>;

/** State derived from operator rows that can be read from a peer. */
export interface SharedState {
    /** Version of the state that this process has. */
    readonly version: () => number | undefined;
    /** Reads the state of the peer and applies it if it is newer. */
    readonly read: (vm: string, connection: PeerConnection) => Promise<void>;
}

export const sharedConfig = (config: ConfigHolder): SharedState => ({
    version: () => config.current?.version,
    read: async (vm, connection) => {
        const answer = await connection.call("config.read", {}, READ_TIMEOUT_MS);
        if (answer.isOk && answer.value.config !== undefined) {
            config.applyIfNewer(answer.value.config, { peer: vm });
        }
    },
});

export const sharedEvacuation = (evacuation: EvacuationHolder): SharedState => ({
    version: () => evacuation.current?.version,
    read: async (vm, connection) => {
        const answer = await connection.call("evacuation.read", {}, READ_TIMEOUT_MS);
        if (answer.isOk && answer.value.state !== undefined) {
            evacuation.replaceIfNewer(answer.value.state, { peer: vm });
        }
    },
});

/**
 * Takes newer state from peers. An entry that the store does not answer tries its routes in turn, each with its timeout,
 * and can be late by several seconds although connected peers have the state.
 */
export class PeerTakeover {
    /** Whether the state is being read; all peers report a new version within one ping interval. */
    private isReading = false;

    constructor(private readonly state: SharedState) {}

    /** Reads the state of a peer if `peerVersion`, which the peer reported, is newer than the version here. */
    async takeIfNewer(vm: string, connection: PeerConnection, peerVersion: number | undefined): Promise<void> {
        if (peerVersion === undefined || peerVersion <= (this.state.version() ?? -1) || this.isReading) {
            return;
        }
        this.isReading = true;
        await this.state.read(vm, connection);
        this.isReading = false;
    }
}
