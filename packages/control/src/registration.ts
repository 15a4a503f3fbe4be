import type { BackoffOptions } from "@persimmonpitch/clock/backoff.js";
import { backoffDelay } from "@persimmonpitch/clock/backoff.js";
import type { Clock } from "@persimmonpitch/clock/clock.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { ProcessRow } from "./rows.js";
import type { RowStore } from "./rowStore.js";

const RETRY_BACKOFF: BackoffOptions = { baseMs: 50, maxMs: 500 };

export interface RegistrationOptions {
    readonly store: RowStore;
    readonly key: string;
    readonly row: ProcessRow;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly random: () => number;
}

/**
 * Writes the address of this process to the store and retries until that succeeds. Each write names the version that it
 * replaces, so that one of an earlier process on this VM that takes effect late does not replace this address.
 */
export const register = async (options: RegistrationOptions, signal: AbortSignal): Promise<void> => {
    const { key, clock, logger, random } = options;
    for (let failures = 0; !signal.aborted; failures += 1) {
        if (await tryRegister(options)) {
            logger.log("info", "process.registered", { key });
            return;
        }
        await clock.sleep(backoffDelay(RETRY_BACKOFF, failures, random), signal);
    }
};

/** Returns whether the row is known to have the address. */
const tryRegister = async ({ store, key, row }: RegistrationOptions): Promise<boolean> => {
    const page = await store.scan({ from: key, to: `${key}\u0000`, limit: 1 });
    if (page.isErr) {
        return false;
    }
    const value = JSON.stringify(row);
    const current = page.value.rows[0];
    if (current?.value === value) {
        return true;
    }
    const expected = [{ key, version: current?.version ?? 0 }];
    const outcome = await store.commit({ expected, puts: [{ key, value }] });
    return outcome.isOk;
};
