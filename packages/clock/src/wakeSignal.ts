import type { Clock, Millis } from "./clock.js";

/** Lets a task sleep until another task has something for it; wakes that come while it works are not lost. */
export class WakeSignal {
    private pending = false;
    private abort = new AbortController();

    /** Ends the current or the next wait. */
    wake(): void {
        this.pending = true;
        this.abort.abort();
    }

    /** Waits for a wake, for at most `limit`. */
    async wait(clock: Clock, limit: Millis, signal?: AbortSignal): Promise<void> {
        if (!this.pending && signal?.aborted !== true) {
            this.abort = new AbortController();
            const either = signal === undefined ? this.abort.signal : AbortSignal.any([this.abort.signal, signal]);
            await clock.sleep(limit, either);
        }
        this.pending = false;
    }
}
