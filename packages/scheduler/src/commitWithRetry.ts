import type { TableError } from "@persimmonpitch/backing/table.js";
import { backoffDelay } from "@persimmonpitch/clock/backoff.js";
import { isTerminal } from "@persimmonpitch/schema/job.js";
import type { Result } from "true-myth";
import type { ActiveJob } from "./activeJobs.js";
import type { StoredJob } from "./jobStore.js";
import type { RoleContext } from "./roleContext.js";

const WRITE_BACKOFF = { baseMs: 100, maxMs: 5_000 };

/**
 * Retries a write to a job's row until it succeeds or the role is lost, however long the store is unavailable.
 * After a conflict or an unknown outcome the row is read again: an earlier write of this holder may have taken effect,
 * or a caller may have requested cancellation.
 */
export const commitWithRetry = async (
    context: RoleContext,
    job: ActiveJob,
    write: (stored: StoredJob) => Promise<Result<StoredJob, TableError>>,
): Promise<void> => {
    const { jobId, attempt } = job.stored.record;
    for (let failures = 0; !context.role.isLost; failures += 1) {
        const written = await write(job.stored);
        if (written.isOk) {
            job.stored = written.value;
            return;
        }
        if (written.error.kind !== "unavailable") {
            const read = await context.store.read(jobId);
            if (read.isOk && read.value !== undefined) {
                job.stored = read.value;
                if (isAttemptRecorded(read.value, attempt?.attemptId)) {
                    return;
                }
            }
        }
        context.logger.log("warn", "job.writeFailed", { job: jobId, kind: written.error.kind });
        await context.clock.sleep(backoffDelay(WRITE_BACKOFF, failures, context.random));
    }
};

/** Whether the row shows that the outcome of the attempt has been recorded. */
const isAttemptRecorded = ({ record }: StoredJob, attemptId: string | undefined): boolean =>
    isTerminal(record.state) || record.attempt?.attemptId !== attemptId;
