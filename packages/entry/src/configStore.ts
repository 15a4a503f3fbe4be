import type { Table, TableError } from "@persimmonpitch/backing/table.js";
import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { InvariantMonitor } from "@persimmonpitch/logging/invariantMonitor.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import { rowKeys } from "@persimmonpitch/scheduler/rowKeys.js";
import type { Configuration, ConfigurationBody } from "@persimmonpitch/schema/configuration.js";
import { configurationSchema } from "@persimmonpitch/schema/configuration.js";
import { randomUUID } from "node:crypto";
import { Result } from "true-myth";
import * as z from "zod";

/** A loaded configuration must be in force in the whole region within 4 s, even if the push to a process was lost. */
const POLL_INTERVAL_MS: Millis = 1_000;

/** Row that contains the version in force. */
const currentRowSchema = z.object({ version: z.number().int().positive() });

/** Reason why a configuration was not loaded. */
export type ConfigLoadError =
    | { readonly kind: "versionConflict"; readonly currentVersion: number; }
    | { readonly kind: "storeUnavailable"; readonly error: TableError; };

/** Reads, caches and loads the configuration. The cached version never decreases. */
export class ConfigStore {
    private current: Configuration | undefined;
    private readonly listeners: ((configuration: Configuration) => void)[] = [];

    constructor(
        private readonly table: Table,
        private readonly clock: Clock,
        private readonly logger: Logger,
        private readonly monitor: InvariantMonitor,
    ) {}

    get configuration(): Configuration | undefined {
        return this.current;
    }

    get version(): number {
        return this.current?.version ?? 0;
    }

    onChange(listener: (configuration: Configuration) => void): void {
        this.listeners.push(listener);
    }

    /** Polls the version in force until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.refresh();
            await this.clock.sleep(POLL_INTERVAL_MS, signal);
        }
    }

    /** Reads the version in force and, if it is newer, its configuration; returns the cached version. */
    async refresh(): Promise<Result<number, TableError>> {
        const row = await this.table.read(rowKeys.configCurrent);
        if (row.isErr) {
            return Result.err(row.error);
        }
        const current = currentRowSchema.safeParse(row.value?.value);
        // The row with the version is small and polled; the configuration is read only once for each version.
        return current.success && current.data.version > this.version
            ? this.readVersion(current.data.version)
            : Result.ok(this.version);
    }

    private async readVersion(version: number): Promise<Result<number, TableError>> {
        const row = await this.table.read(rowKeys.configVersion(version));
        if (row.isErr) {
            return Result.err(row.error);
        }
        const parsed = configurationSchema.safeParse(row.value?.value);
        if (parsed.success) {
            this.apply(parsed.data);
        }
        else {
            this.logger.log("error", "config.malformed", { version });
        }
        return Result.ok(this.version);
    }

    /** Loads a configuration as the next version if the version in force is still `expectedVersion`. */
    async load(
        body: ConfigurationBody,
        expectedVersion: number,
        loadedBy: string,
    ): Promise<Result<Configuration, ConfigLoadError>> {
        const refreshed = await this.refresh();
        if (refreshed.isErr) {
            return Result.err({ kind: "storeUnavailable", error: refreshed.error });
        }
        if (this.version !== expectedVersion) {
            return Result.err({ kind: "versionConflict", currentVersion: this.version });
        }
        const version = expectedVersion + 1;
        const configuration: Configuration = { version, loadedAt: this.clock.wallTime(), loadedBy, body };
        const written = await this.table.commit({
            writeId: randomUUID(),
            // The row is written once for each version, so its row version equals the configuration version.
            checks: [{ key: rowKeys.configCurrent, version: expectedVersion }, {
                key: rowKeys.configVersion(version),
                version: 0,
            }],
            puts: [
                { key: rowKeys.configCurrent, value: { version } },
                { key: rowKeys.configVersion(version), value: configuration },
            ],
            deletes: [],
        });
        if (written.isOk) {
            this.apply(configuration);
            return Result.ok(configuration);
        }
        if (written.error.kind === "conflict") {
            await this.refresh();
            return Result.err({ kind: "versionConflict", currentVersion: this.version });
        }
        return Result.err({ kind: "storeUnavailable", error: written.error });
    }

    /** Reports a configuration that differs from the cached one of the same version; an older one is a stale read. */
    private checkVersionContent({ version, loadedAt, loadedBy }: Configuration): void {
        const { current } = this;
        if (current?.version === version && (current.loadedAt !== loadedAt || current.loadedBy !== loadedBy)) {
            this.monitor.report("I8", { version, loadedBy });
        }
    }

    private apply(configuration: Configuration): void {
        if (configuration.version <= this.version) {
            this.checkVersionContent(configuration);
            return;
        }
        this.current = configuration;
        this.logger.log("info", "config.applied", { version: configuration.version });
        this.listeners.forEach(listener => {
            listener(configuration);
        });
    }
}
