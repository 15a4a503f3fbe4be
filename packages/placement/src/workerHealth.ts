/** Different jobs that must fail on a worker, without a success in between, before it is quarantined. */
const QUARANTINE_FAILED_JOBS = 3;

/** Detects workers that fail every task and quarantines them. A quarantined worker is probed with one task at a time. */
export class WorkerHealth {
    /** Jobs whose tasks failed on each worker since its last success, up to the number that quarantines it. */
    readonly #failedJobs = new Map<string, Set<string>>();

    taskFailed(vmId: string, jobId: string): void {
        const failed = this.#failedJobs.get(vmId) ?? new Set<string>();
        this.#failedJobs.set(vmId, failed);
        if (failed.size < QUARANTINE_FAILED_JOBS) {
            failed.add(jobId);
        }
    }

    /** Resets the failures of a worker, which ends its quarantine. */
    taskSucceeded(vmId: string): void {
        this.#failedJobs.delete(vmId);
    }

    /** Resets the failures of a replaced worker, because they belong to its previous instance. */
    workerReplaced(vmId: string): void {
        this.#failedJobs.delete(vmId);
    }

    isQuarantined(vmId: string): boolean {
        return (this.#failedJobs.get(vmId)?.size ?? 0) >= QUARANTINE_FAILED_JOBS;
    }
}
