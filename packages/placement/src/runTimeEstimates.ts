import type { JobSpec } from "@persimmonpitch/schema/job.js";
import type { PlacedJob, QueuedJob, RunTimeCorrection } from "./clusterView.js";

/** Part of the time run so far that a job beyond its expected run time is still assumed to need. */
const OVERRUN_SHARE = 0.1;

const DECLARED: RunTimeCorrection = {
    expected: ({ declaredRunMs }) => declaredRunMs,
    upper: ({ declaredRunMs }) => declaredRunMs,
};

/** Run times that decisions rely on, less the work that a checkpoint has saved. */
export class RunTimeEstimates {
    readonly #source: RunTimeCorrection;
    readonly #now: number;

    constructor(corrected: RunTimeCorrection, useCorrection: boolean, now: number) {
        this.#source = useCorrection ? corrected : DECLARED;
        this.#now = now;
    }

    expected({ spec, savedProgress }: QueuedJob): number {
        return this.#source.expected(spec) * (1 - savedProgress);
    }

    upper({ spec, savedProgress }: QueuedJob): number {
        return this.#source.upper(spec) * (1 - savedProgress);
    }

    /** Exceeded less often than the expected run time and more often than the upper one. */
    cautious(job: QueuedJob): number {
        return Math.sqrt(this.expected(job) * this.upper(job));
    }

    /** Time that placed work is expected to run on. */
    remaining({ spec, startedAt }: PlacedJob): number {
        const elapsed = Math.max(0, this.#now - startedAt);
        return Math.max(this.#expectedOf(spec) - elapsed, OVERRUN_SHARE * elapsed);
    }

    #expectedOf(spec: JobSpec): number {
        return this.#source.expected(spec);
    }
}
