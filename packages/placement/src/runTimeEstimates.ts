import type { JobSpec } from "@persimmonpitch/schema/job.js";
import type { PlacedJob, QueuedJob, RunTimePredictor } from "./clusterView.js";

/** Least remaining run time, as a fraction of the elapsed one; it applies to jobs close to or beyond their expected end. */
const MIN_REMAINING_FRACTION = 0.1;

const DECLARED_RUN_TIMES: RunTimePredictor = {
    expectedMs: ({ declaredRunMs }) => declaredRunMs,
    upperBoundMs: ({ declaredRunMs }) => declaredRunMs,
};

/** Run time estimates for decisions. They exclude the share of the work that a checkpoint has saved. */
export class RunTimeEstimates {
    readonly #predictor: RunTimePredictor;
    readonly #now: number;

    constructor(learned: RunTimePredictor, useLearned: boolean, now: number) {
        this.#predictor = useLearned ? learned : DECLARED_RUN_TIMES;
        this.#now = now;
    }

    expectedMs({ spec, savedProgress }: QueuedJob): number {
        return this.#predictor.expectedMs(spec) * (1 - savedProgress);
    }

    upperBoundMs({ spec, savedProgress }: QueuedJob): number {
        return this.#predictor.upperBoundMs(spec) * (1 - savedProgress);
    }

    /** Geometric mean of the expected run time and its upper bound. */
    conservativeMs(job: QueuedJob): number {
        return Math.sqrt(this.expectedMs(job) * this.upperBoundMs(job));
    }

    /** Expected remaining run time of a placed job. */
    remainingMs({ spec, startedAt }: PlacedJob): number {
        const elapsed = Math.max(0, this.#now - startedAt);
        return Math.max(this.#expectedOf(spec) - elapsed, MIN_REMAINING_FRACTION * elapsed);
    }

    #expectedOf(spec: JobSpec): number {
        return this.#predictor.expectedMs(spec);
    }
}
