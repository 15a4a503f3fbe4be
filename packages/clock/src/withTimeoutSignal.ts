import { WAIT_OVER } from "./abortReasons.js";
import type { Clock, Millis } from "./clock.js";
import { withAnySignal } from "./withAnySignal.js";

/** What ends the work. */
export interface TimeoutSignalOptions {
    readonly clock: Clock;
    readonly timeoutMs: Millis;
    /** Ends the work earlier. */
    readonly signal?: AbortSignal | undefined;
}

/**
 * Does work under a signal that aborts after a timeout or with another signal. The timer is referenced until the work is
 * over. `AbortSignal.any` holds its sources weakly, so a timeout that is known only to it can be garbage-collected and
 * then never aborts.
 */
export const withTimeoutSignal = async <T>(
    { clock, timeoutMs, signal }: TimeoutSignalOptions,
    work: (signal: AbortSignal) => Promise<T>,
): Promise<T> => {
    const workOver = new AbortController();
    const timeout = new AbortController();
    void clock.sleep(timeoutMs, workOver.signal).then(() => {
        timeout.abort(WAIT_OVER);
    });
    try {
        return await withAnySignal(signal === undefined ? [timeout.signal] : [timeout.signal, signal], work);
    }
    finally {
        workOver.abort(WAIT_OVER);
    }
};
