import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { ClusterConfig } from "@persimmonpitch/workload/clusterConfig.js";

/** The newest configuration that this process knows; it never goes back to an older version. */
export class ConfigBook {
    private newest: ClusterConfig | undefined;
    private readonly listeners = new Set<() => void>();

    constructor(private readonly logger: Logger) {}

    get current(): ClusterConfig | undefined {
        return this.newest;
    }

    /** Calls `listener` after each new version, until the returned function is called. */
    listen(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => {
            this.listeners.delete(listener);
        };
    }

    /** Applies a configuration unless a newer one is known. */
    offer(config: ClusterConfig): void {
        if (this.newest !== undefined && config.version <= this.newest.version) {
            return;
        }
        this.newest = config;
        this.logger.log("info", "config.applied", { version: config.version });
        for (const listener of this.listeners) {
            listener();
        }
    }
}
