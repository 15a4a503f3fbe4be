import type { JobSpec, WorkClass } from "@persimmonpitch/schema/job.js";
import type { RunTimeCorrection } from "./clusterView.js";

/** Logarithm of the ratio of true to declared run time. */
interface RatioEstimate {
    mean: number;
    variance: number;
    observations: number;
}

/** Options of the learner. */
export interface RunTimeLearnerOptions {
    /** Most team and class pairs remembered; the one observed longest ago is dropped first. */
    readonly maxEstimates: number;
}

export const DEFAULT_RUN_TIME_LEARNER_OPTIONS: RunTimeLearnerOptions = { maxEstimates: 4_096 };

/** Weight of the newest observation once there are many, so that estimates follow a change of work. */
const NEWEST_WEIGHT = 0.1;

/** Observations that the estimate of the class as a whole counts for. */
const PRIOR_OBSERVATIONS = 4;

/** Declared run times are off by a factor of 4 in the traces; this is assumed until jobs show otherwise. */
const UNKNOWN_VARIANCE = Math.log(4) ** 2;

/** A single observation beyond this ratio counts as this ratio. */
const MAX_LOG_RATIO = Math.log(64);

/** Standard deviations above the mean that about one job in twenty exceeds. */
const UPPER_DEVIATIONS = 1.645;

const UNKNOWN: Readonly<RatioEstimate> = { mean: 0, variance: UNKNOWN_VARIANCE, observations: 0 };

const learn = (estimate: RatioEstimate, logRatio: number): void => {
    estimate.observations += 1;
    const weight = Math.max(NEWEST_WEIGHT, 1 / estimate.observations);
    const delta = logRatio - estimate.mean;
    estimate.mean += weight * delta;
    estimate.variance = (1 - weight) * (estimate.variance + weight * delta * delta);
};

const blend = (own: RatioEstimate, prior: Readonly<RatioEstimate>): RatioEstimate => {
    const share = own.observations / (own.observations + PRIOR_OBSERVATIONS);
    const distance = own.mean - prior.mean;
    return {
        mean: prior.mean + share * distance,
        variance: share * own.variance + (1 - share) * prior.variance + share * (1 - share) * distance * distance,
        observations: own.observations,
    };
};

/** Learns for each team and class how run times differ from declared ones. */
export class RunTimeLearner implements RunTimeCorrection {
    readonly #options: RunTimeLearnerOptions;
    readonly #byTeam = new Map<string, RatioEstimate>();
    readonly #byClass = new Map<WorkClass, RatioEstimate>();

    constructor(options: RunTimeLearnerOptions = DEFAULT_RUN_TIME_LEARNER_OPTIONS) {
        this.#options = options;
    }

    /** Records what a finished job really took. */
    observe(spec: JobSpec, actualMs: number): void {
        const logRatio = Math.log(Math.max(1, actualMs) / spec.declaredRunMs);
        const clamped = Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, logRatio));
        const ofClass = this.#byClass.get(spec.workClass) ?? { ...UNKNOWN };
        this.#byClass.set(spec.workClass, ofClass);
        learn(ofClass, clamped);
        const key = this.#keyOf(spec);
        const ofTeam = this.#byTeam.get(key) ?? { ...UNKNOWN };
        // Deleting first moves the entry to the end of the insertion order.
        this.#byTeam.delete(key);
        this.#byTeam.set(key, ofTeam);
        learn(ofTeam, clamped);
        this.#dropOldest();
    }

    expected(spec: JobSpec): number {
        return spec.declaredRunMs * Math.exp(this.#estimate(spec).mean);
    }

    upper(spec: JobSpec): number {
        const { mean, variance } = this.#estimate(spec);
        return spec.declaredRunMs * Math.exp(mean + UPPER_DEVIATIONS * Math.sqrt(variance));
    }

    #keyOf({ team, workClass }: JobSpec): string {
        return `${workClass} ${team}`;
    }

    #estimate(spec: JobSpec): RatioEstimate {
        const ofClass = this.#byClass.get(spec.workClass);
        const prior = ofClass === undefined ? UNKNOWN : blend(ofClass, UNKNOWN);
        return blend(this.#byTeam.get(this.#keyOf(spec)) ?? UNKNOWN, prior);
    }

    #dropOldest(): void {
        const oldest = this.#byTeam.keys().next();
        if (this.#byTeam.size > this.#options.maxEstimates && oldest.done !== true) {
            this.#byTeam.delete(oldest.value);
        }
    }
}
