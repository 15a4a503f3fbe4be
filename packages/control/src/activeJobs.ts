import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { StepJob } from "@persimmonpitch/workload/stepJob.js";
import { readStoredProgress } from "./jobProgressRows.js";
import { OpenJob } from "./openJob.js";
import type { Replica } from "./replica.js";

/** Jobs that have not ended, and ended jobs that still have runs. */
export class ActiveJobs {
    readonly byId = new Map<string, OpenJob>();
    private readonly endedIds = new Set<string>();

    constructor(private readonly replica: Replica, private readonly logger: Logger) {
        for (const jobId of replica.jobs.keys()) {
            this.load(jobId);
        }
    }

    /** Loads a job from its rows. Returns whether it is new and open. */
    load(jobId: string): boolean {
        const row = this.replica.jobs.get(jobId);
        if (row === undefined || this.byId.has(jobId) || this.endedIds.has(jobId)) {
            return false;
        }
        const stored = readStoredProgress(this.replica, row.value);
        if (stored === undefined) {
            // Without its progress the job could run twice, and writing its progress would fail and cost the controller
            // role.
            this.logger.log("error", "job.unreadable", { job: jobId });
            return false;
        }
        const openJob = new OpenJob(row.value, stored);
        if (!openJob.isOpen) {
            this.endedIds.add(jobId);
            return false;
        }
        this.byId.set(jobId, openJob);
        this.logger.log("info", "job.taken", {
            job: jobId,
            queue: openJob.job.queue,
            steps: describeSteps(openJob.job),
        });
        return true;
    }

    /** The job with the given ID if it is stored, whether it has ended or its progress cannot be read. */
    storedJob(jobId: string): StepJob | undefined {
        return this.byId.get(jobId)?.job ?? this.replica.jobs.get(jobId)?.value;
    }

    /** Removes an ended job that has no runs left. */
    remove(jobId: string): void {
        this.byId.delete(jobId);
        this.endedIds.add(jobId);
    }
}

/** Formats the steps for the log: tasks x accelerators, with a letter for each trait. */
const describeSteps = ({ steps, repetition }: StepJob): string => {
    const stepTexts = steps.map(({ count, demand, isGang, isTight, hasCheckpoints, declaredMs }) =>
        `${count}x${demand.accelerators}${isGang ? "g" : ""}${isTight ? "t" : ""}${
            hasCheckpoints ? "c" : ""
        }~${declaredMs}`
    );
    return `${repetition === undefined ? "" : `${repetition.count}*`}${stepTexts.join("+")}`;
};
