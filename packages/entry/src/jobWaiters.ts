import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import type { JobStore, StoredJob } from "@persimmonpitch/scheduler/jobStore.js";
import { isTerminal } from "@persimmonpitch/schema/job.js";

/** A job that another entry schedules is read again at this interval. */
const POLL_MS: Millis = 1_000;

/** Callers that wait for the end of a job. */
export class JobWaiters {
    private readonly signals = new Map<string, Set<WakeSignal>>();

    constructor(private readonly store: JobStore, private readonly clock: Clock) {}

    /** Ends the present wait of all callers of a job. */
    notify(jobId: string): void {
        this.signals.get(jobId)?.forEach(signal => {
            signal.wake();
        });
    }

    /** The job as soon as it has ended, or as it stands after `timeoutMs`; undefined if it cannot be read. */
    async wait(jobId: string, timeoutMs: Millis): Promise<StoredJob | undefined> {
        const deadline = this.clock.now() + timeoutMs;
        const signal = new WakeSignal();
        const signals = this.signals.get(jobId) ?? new Set();
        this.signals.set(jobId, signals.add(signal));
        try {
            for (;;) {
                const read = await this.store.read(jobId);
                const job = read.unwrapOr(undefined);
                const left = deadline - this.clock.now();
                if (left <= 0 || (job !== undefined && isTerminal(job.record.state))) {
                    return job;
                }
                await signal.wait(this.clock, Math.min(left, POLL_MS));
            }
        }
        finally {
            signals.delete(signal);
            if (signals.size === 0) {
                this.signals.delete(jobId);
            }
        }
    }
}
