import type { ActiveJobs } from "./activeJobs.js";
import type { ConfigHolder } from "./configHolder.js";
import type { PassUrgency } from "./passSchedule.js";
import type { ProgressWriter } from "./progressWriter.js";
import { queueOfJob } from "./queueOfJob.js";
import type { Replica } from "./replica.js";
import { rowKeys, tombstoneKey } from "./rows.js";

/** Rows that other processes write and that a pass depends on; this process writes the other rows itself. */
const DECISIVE_ROW_KINDS: ReadonlySet<string> = new Set(["job", "cancel", "agent"]);

const kindOf = (key: string): string => key.split("/", 1)[0] ?? "";

export interface RowChangeHandlerOptions {
    readonly replica: Replica;
    readonly config: ConfigHolder;
    readonly jobs: ActiveJobs;
    readonly writer: ProgressWriter;
    readonly requestPass: (urgency: PassUrgency) => void;
}

/** Takes up new and cancelled jobs from the rows that other processes write. */
export class RowChangeHandler {
    constructor(private readonly options: RowChangeHandlerOptions) {}

    /** Ends the open jobs that were cancelled before this process took the role. */
    applyStoredCancellations(): void {
        const { cancels, tombstones } = this.options.replica;
        this.apply([...cancels.keys()].map(rowKeys.cancel));
        this.apply([...tombstones.keys()].map(tombstoneKey));
    }

    apply(keys: readonly string[]): void {
        const { jobs, requestPass } = this.options;
        for (const key of keys) {
            const [kind, jobId = ""] = key.split("/");
            if (kind === "job") {
                jobs.load(jobId);
                // A full scan returns keys in order, so a cancellation arrives before its job.
                this.cancelIfRequested(jobId);
            }
            else if (kind === "cancel") {
                this.cancel(jobId);
            }
            else if (kind === "tombstone") {
                this.cancelIfRequested(jobId);
            }
        }
        if (keys.some(key => DECISIVE_ROW_KINDS.has(kindOf(key)))) {
            requestPass(keys.some(key => this.isUrgentJob(key)) ? "urgent" : "normal");
        }
    }

    private isUrgentJob(key: string): boolean {
        const { jobs, config } = this.options;
        const [kind, jobId = ""] = key.split("/");
        const job = kind === "job" ? jobs.byId.get(jobId)?.job : undefined;
        return job !== undefined && queueOfJob(config.current, job)?.priority === 0;
    }

    private cancelIfRequested(jobId: string): void {
        const { jobs, replica } = this.options;
        const job = jobs.byId.get(jobId)?.job;
        // Entries of the release before tombstones store jobs in spite of them.
        if (job !== undefined && (replica.cancels.has(jobId) || replica.hasTombstone(jobId, job))) {
            this.cancel(jobId);
        }
    }

    private cancel(jobId: string): void {
        const { jobs, writer, requestPass } = this.options;
        const openJob = jobs.byId.get(jobId);
        if (openJob?.isOpen === true) {
            openJob.finish("cancelled");
            writer.markDirty(openJob);
            requestPass("normal");
        }
    }
}
