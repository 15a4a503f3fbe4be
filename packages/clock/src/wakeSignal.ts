import { WAIT_OVER } from "./abortReasons.js";
import type { Clock, Millis } from "./clock.js";

/** Lets a task sleep until another task has something for it; wakes that come while it works are not lost. */
export class WakeSignal {
    private pending = false;
    private endWait: (() => void) | undefined;

    /** Ends the current or the next wait. */
    wake(): void {
        this.pending = true;
        this.endWait?.();
    }

    /** Waits for a wake, for at most `limit`. */
    async wait(clock: Clock, limit: Millis, signal?: AbortSignal): Promise<void> {
        if (!this.pending && signal?.aborted !== true) {
            const waitAbort = new AbortController();
            const endWait = () => {
                waitAbort.abort(WAIT_OVER);
            };
            this.endWait = endWait;
            signal?.addEventListener("abort", endWait);
            await clock.sleep(limit, waitAbort.signal);
            signal?.removeEventListener("abort", endWait);
        }
        this.pending = false;
    }
}
