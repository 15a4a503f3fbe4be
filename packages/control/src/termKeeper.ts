import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { isAborted } from "@persimmonpitch/clock/isAborted.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { TakenRole } from "./controllerContext.js";
import { rowKeys } from "./rows.js";
import type { RowStore } from "./rowStore.js";

/** What a term keeper works on. */
export interface TermKeeperOptions {
    readonly store: RowStore;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly role: TakenRole;
    readonly onRoleLost: (detail: string) => void;
}

const RENEW_MS: Millis = 500;

/** Shows the other entries that the controller lives, and learns when the role was taken. */
export class TermKeeper {
    /** When the last renewal that succeeded was sent. */
    renewedAt: Millis;
    private beat = 0;

    constructor(private readonly options: TermKeeperOptions) {
        this.renewedAt = options.role.takenAt;
    }

    /** Renews the term until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, store, role, onRoleLost } = this.options;
        while (!isAborted(signal)) {
            await clock.sleep(RENEW_MS, signal);
            if (isAborted(signal)) {
                return;
            }
            const sentAt = clock.now();
            this.beat += 1;
            const outcome = await store.commit({
                expected: [{ key: rowKeys.role, version: role.rowVersion }],
                puts: [{ key: rowKeys.term, value: JSON.stringify({ epoch: role.epoch, beat: this.beat }) }],
            });
            if (outcome.isOk) {
                this.renewedAt = sentAt;
            }
            else if (outcome.error.kind === "conflict") {
                onRoleLost("Another process has taken the role.");
                return;
            }
        }
    }

    /** Marks the role as released. */
    async release(): Promise<void> {
        const { store, role, logger } = this.options;
        const outcome = await store.commit({
            expected: [{ key: rowKeys.role, version: role.rowVersion }],
            puts: [{ key: rowKeys.role, value: JSON.stringify(role.released) }],
        });
        logger.log("info", "role.released", { epoch: role.epoch, isWritten: outcome.isOk });
    }
}
