import type { Table, TableError } from "@persimmonpitch/backing/table.js";
import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { InvariantMonitor } from "@persimmonpitch/logging/invariantMonitor.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import { rowKeys } from "@persimmonpitch/scheduler/rowKeys.js";
import type { Configuration, ConfigurationBody } from "@persimmonpitch/schema/configuration.js";
import { configurationSchema } from "@persimmonpitch/schema/configuration.js";
import { randomUUID } from "node:crypto";
import { Result } from "true-myth";
import { z } from "zod";

/** A configuration must be in force everywhere within 4 s, also where the push was lost. */
const POLL_MS: Millis = 1_000;

/** The row that names the version in force. */
const currentRowSchema = z.object({ version: z.number().int().positive() });

/** What became of a load. */
export type LoadError =
    | { readonly kind: "versionConflict"; readonly currentVersion: number; }
    | { readonly kind: "storeUnavailable"; readonly error: TableError; };

/** The configuration in force at this process; its version only rises. */
export class ConfigWatch {
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

    /** Reads the row in force at an interval until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.refresh();
            await this.clock.sleep(POLL_MS, signal);
        }
    }

    /** Reads the row in force now. */
    async refresh(): Promise<Result<number, TableError>> {
        const row = await this.table.read(rowKeys.configCurrent);
        if (row.isErr) {
            return Result.err(row.error);
        }
        const current = currentRowSchema.safeParse(row.value?.value);
        // The row is small and read often; the configuration itself is read once for each version.
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

    /** Loads a body over the version that the operator read. */
    async load(body: ConfigurationBody, over: number, loadedBy: string): Promise<Result<Configuration, LoadError>> {
        const refreshed = await this.refresh();
        if (refreshed.isErr) {
            return Result.err({ kind: "storeUnavailable", error: refreshed.error });
        }
        if (this.version !== over) {
            return Result.err({ kind: "versionConflict", currentVersion: this.version });
        }
        const version = over + 1;
        const configuration: Configuration = { version, loadedAt: this.clock.wallTime(), loadedBy, body };
        const written = await this.table.commit({
            writeId: randomUUID(),
            // The row is written once for each version, so the version of the row is that of the configuration.
            checks: [{ key: rowKeys.configCurrent, version: over }, {
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

    /** An older row is a stale read and is ignored; another content of the same version would be a breach. */
    private checkRevert({ version, loadedAt, loadedBy }: Configuration): void {
        const { current } = this;
        if (current?.version === version && (current.loadedAt !== loadedAt || current.loadedBy !== loadedBy)) {
            this.monitor.report("I8", { version, loadedBy });
        }
    }

    private apply(configuration: Configuration): void {
        if (configuration.version <= this.version) {
            this.checkRevert(configuration);
            return;
        }
        this.current = configuration;
        this.logger.log("info", "config.applied", { version: configuration.version });
        this.listeners.forEach(listener => {
            listener(configuration);
        });
    }
}
