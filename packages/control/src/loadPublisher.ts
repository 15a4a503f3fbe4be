import { isMaterialChange } from "@persimmonpitch/admission/loadChange.js";
import type { LoadRow } from "@persimmonpitch/admission/loadRow.js";
import { encodeLoadRow } from "@persimmonpitch/admission/loadRow.js";
import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { isAborted } from "@persimmonpitch/clock/isAborted.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { StoredRow } from "@persimmonpitch/workload/storedRow.js";
import { rowKeys } from "./rows.js";
import type { RowStore } from "./rowStore.js";

const PUBLISH_INTERVAL_MS: Millis = 1_000;

export interface LoadPublisherOptions {
    readonly store: RowStore;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Version of the role row. A write fails once another process has taken the role. */
    readonly roleVersion: number;
    readonly isEnabled: () => boolean;
    /** Returns the present load; `undefined` without a configuration. */
    readonly summarize: () => LoadRow | undefined;
    readonly announce: (rows: readonly StoredRow[]) => void;
}

/** Publishes the load of the cluster for the admission of jobs, at most once a second and only when it has changed. */
export class LoadPublisher {
    private published: LoadRow | undefined;

    constructor(private readonly options: LoadPublisherOptions) {}

    /** Runs until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, isEnabled } = this.options;
        while (!isAborted(signal)) {
            await clock.sleep(PUBLISH_INTERVAL_MS, signal);
            if (!isAborted(signal) && isEnabled()) {
                await this.publish();
            }
        }
    }

    private async publish(): Promise<void> {
        const { store, logger, roleVersion, summarize, announce } = this.options;
        const load = summarize();
        if (load === undefined || !isMaterialChange(this.published, load)) {
            return;
        }
        const row = { key: rowKeys.load, value: encodeLoadRow(load) };
        const outcome = await store.commit({ expected: [{ key: rowKeys.role, version: roleVersion }], puts: [row] });
        if (outcome.isOk) {
            this.published = load;
            announce([{ ...row, version: outcome.value.version }]);
        }
        else {
            // The entries accept every job once their row is old, so a failed write needs no retry.
            logger.log("info", "load.unpublished", { kind: outcome.error.kind });
        }
    }
}
