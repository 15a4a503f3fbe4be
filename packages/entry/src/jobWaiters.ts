import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import type { JobStore, StoredJob } from "@persimmonpitch/scheduler/jobStore.js";
import { isTerminal } from "@persimmonpitch/schema/job.js";

/** Interval at which the job is read again, because changes made by another entry do not wake the callers here. */
const POLL_INTERVAL_MS: Millis = 1_000;

/** Lets callers wait for a job to end. */
export class JobWaiters {
    private readonly wakeSignals = new Map<string, Set<WakeSignal>>();

    constructor(private readonly store: JobStore, private readonly clock: Clock) {}

    /** Wakes all callers that wait for the job, so that they read it again. */
    notify(jobId: string): void {
        this.wakeSignals.get(jobId)?.forEach(signal => {
            signal.wake();
        });
    }

    /** Returns the job once it has ended, or its state after `timeoutMs`; undefined if it cannot be read then. */
    async waitForEnd(jobId: string, timeoutMs: Millis): Promise<StoredJob | undefined> {
        const deadline = this.clock.now() + timeoutMs;
        const wakeSignal = new WakeSignal();
        const jobSignals = this.wakeSignals.get(jobId) ?? new Set();
        this.wakeSignals.set(jobId, jobSignals.add(wakeSignal));
        try {
            for (;;) {
                const read = await this.store.read(jobId);
                const job = read.unwrapOr(undefined);
                const remainingMs = deadline - this.clock.now();
                if (remainingMs <= 0 || (job !== undefined && isTerminal(job.record.state))) {
                    return job;
                }
                await wakeSignal.wait(this.clock, Math.min(remainingMs, POLL_INTERVAL_MS));
            }
        }
        finally {
            jobSignals.delete(wakeSignal);
            if (jobSignals.size === 0) {
                this.wakeSignals.delete(jobId);
            }
        }
    }
}
