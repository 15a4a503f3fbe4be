import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { Connection } from "@persimmonpitch/protocol/connection.js";
import type { StoreMethods } from "@persimmonpitch/protocol/storeMessages.js";
import type { ConfigHolder } from "./configHolder.js";

const READ_TIMEOUT_MS: Millis = 600;

/**
 * Takes newer configurations from peers. An entry that the store does not answer tries its routes in turn, each with its
 * timeout, and can be late by several seconds although connected peers have the configuration.
 */
export class ConfigTakeover {
    /** Whether a configuration is being read; all peers report a new version within one ping interval. */
    private isReading = false;

    constructor(private readonly config: ConfigHolder) {}

    /** Reads the configuration of a peer if `peerVersion`, which the peer reported, is newer than the current one. */
    async takeIfNewer(
        vm: string,
        connection: Connection<Record<string, never>, StoreMethods>,
        peerVersion: number | undefined,
    ): Promise<void> {
        if (peerVersion === undefined || peerVersion <= (this.config.current?.version ?? -1) || this.isReading) {
            return;
        }
        this.isReading = true;
        const answer = await connection.call("config.read", {}, READ_TIMEOUT_MS);
        this.isReading = false;
        if (answer.isOk && answer.value.config !== undefined) {
            this.config.applyIfNewer(answer.value.config, { peer: vm });
        }
    }
}
