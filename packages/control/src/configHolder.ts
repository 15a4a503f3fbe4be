import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { ClusterConfig } from "@persimmonpitch/workload/clusterConfig.js";

/** How a configuration reached this process. */
export interface ConfigOrigin {
    /** Time between the store's previous response and the one with the configuration. */
    readonly silenceMs?: Millis | undefined;
    /** VM of the peer that it was read from, if it did not come from the store. */
    readonly peer?: string;
}

/** Holds the latest configuration known to this process. Never reverts to an older version. */
export class ConfigHolder {
    private latest: ClusterConfig | undefined;
    private readonly listeners = new Set<() => void>();

    constructor(private readonly logger: Logger) {}

    get current(): ClusterConfig | undefined {
        return this.latest;
    }

    /** Calls `listener` after each new version. Returns a function that unsubscribes it. */
    listen(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => {
            this.listeners.delete(listener);
        };
    }

    /** Applies `config` if it is newer than the current configuration. */
    applyIfNewer(config: ClusterConfig, origin: ConfigOrigin = {}): void {
        if (this.latest !== undefined && config.version <= this.latest.version) {
            return;
        }
        this.latest = config;
        this.logger.log("info", "config.applied", {
            version: config.version,
            peer: origin.peer,
            silenceMs: origin.silenceMs === undefined ? undefined : Math.round(origin.silenceMs),
        });
        for (const listener of this.listeners) {
            listener();
        }
    }
}
