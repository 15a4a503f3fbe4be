import type { Millis } from "@persimmonpitch/clock/clock.js";
import { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import type { GangMember } from "@persimmonpitch/schema/job.js";
import type { StoredJob } from "./jobStore.js";

/** Why the holder stops an attempt. */
export type StopReason = "cancelled" | "preempted";

/** In-memory state of a job that has not ended. */
export interface ActiveJob {
    stored: StoredJob;
    /** Members of the attempt in progress; undefined while the job is queued. */
    members: readonly GangMember[] | undefined;
    /** Wall time at which the attempt began. */
    startedAt: Millis;
    stopReason: StopReason | undefined;
    /** Wakes the supervision of the attempt. */
    readonly wakeSignal: WakeSignal;
    /** Why the job is still queued, from the last placement pass that did not start it. */
    explanation: { readonly reason: string; readonly detail: string; } | undefined;
    /** Monotonic time before which a requeued job is not placed again. */
    notBefore: Millis;
    /** Whether the row may differ from `stored`, because a claim was not confirmed. */
    isRowPossiblyStale: boolean;
    /** Fraction of the work saved by the latest checkpoint, from 0 to 1. */
    savedProgress: number;
}

/** The jobs of the region that have not ended, as held in memory by the role holder. */
export class ActiveJobs {
    private readonly jobs = new Map<string, ActiveJob>();

    get(jobId: string): ActiveJob | undefined {
        return this.jobs.get(jobId);
    }

    all(): IterableIterator<ActiveJob> {
        return this.jobs.values();
    }

    get size(): number {
        return this.jobs.size;
    }

    /** Adds a job, or updates it if `stored` is a newer version of its row. */
    upsert(stored: StoredJob): ActiveJob {
        const known = this.jobs.get(stored.record.jobId);
        if (known !== undefined) {
            if (stored.version > known.stored.version) {
                known.stored = stored;
            }
            return known;
        }
        const job: ActiveJob = {
            stored,
            members: stored.record.attempt?.members,
            startedAt: stored.record.attempt?.claimedAt ?? 0,
            stopReason: undefined,
            wakeSignal: new WakeSignal(),
            explanation: undefined,
            notBefore: 0,
            isRowPossiblyStale: false,
            savedProgress: 0,
        };
        this.jobs.set(stored.record.jobId, job);
        return job;
    }

    remove(jobId: string): void {
        this.jobs.delete(jobId);
    }
}
