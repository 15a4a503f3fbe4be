import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { isAborted } from "@persimmonpitch/clock/isAborted.js";
import { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { TakenRole } from "./controllerContext.js";
import type { ControllerLease } from "./controllerLease.js";
import { rowKeys } from "./rows.js";
import type { RowStore } from "./rowStore.js";

export interface TermRenewerOptions {
    readonly store: RowStore;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly role: TakenRole;
    readonly controllerLease: ControllerLease;
    /** Called after each successful renewal. */
    readonly onRenewed: () => void;
    readonly onRoleLost: (detail: string) => void;
}

const RENEW_INTERVAL_MS: Millis = 500;
/** Minimum interval between requested renewals, so that a thousand attaching agents share a few renewals. */
const MIN_RENEW_INTERVAL_MS: Millis = 50;

/** Renews the term as a heartbeat for the other entries and detects when another process has taken the role. */
export class TermRenewer {
    private heartbeatCount = 0;
    private readonly renewalRequested = new WakeSignal();

    constructor(private readonly options: TermRenewerOptions) {}

    /** Requests a renewal before the next one is due. */
    requestRenewal(): void {
        this.renewalRequested.wake();
    }

    /** Renews the term until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, store, role, controllerLease, onRenewed, onRoleLost } = this.options;
        while (!isAborted(signal)) {
            await clock.sleep(MIN_RENEW_INTERVAL_MS, signal);
            await this.renewalRequested.wait(clock, RENEW_INTERVAL_MS - MIN_RENEW_INTERVAL_MS, signal);
            if (isAborted(signal)) {
                return;
            }
            const renewal = controllerLease.beginRenewal();
            this.heartbeatCount += 1;
            const outcome = await store.commit({
                expected: [{ key: rowKeys.role, version: role.rowVersion }],
                puts: [{ key: rowKeys.term, value: JSON.stringify({ epoch: role.epoch, beat: this.heartbeatCount }) }],
            });
            if (outcome.isOk) {
                controllerLease.completeRenewal(renewal);
                onRenewed();
            }
            else if (outcome.error.kind === "conflict") {
                onRoleLost("Another process has taken the role.");
                return;
            }
        }
    }

    /** Releases the role. */
    async release(): Promise<void> {
        const { store, role, logger } = this.options;
        const outcome = await store.commit({
            expected: [{ key: rowKeys.role, version: role.rowVersion }],
            puts: [{ key: rowKeys.role, value: JSON.stringify(role.releaseRow) }],
        });
        logger.log("info", "role.released", { epoch: role.epoch, isWritten: outcome.isOk });
    }
}
