import type { JobSpec, WorkClass } from "@persimmonpitch/schema/job.js";
import type { RunTimePredictor } from "./clusterView.js";

/** Estimated distribution of the logarithm of the ratio of true to declared run time. */
interface LogRatioEstimate {
    mean: number;
    variance: number;
    observations: number;
}

export interface RunTimeLearnerOptions {
    /** Limit of team and class pairs; the least recently observed pair is evicted first. */
    readonly maxEstimates: number;
}

export const DEFAULT_RUN_TIME_LEARNER_OPTIONS: RunTimeLearnerOptions = { maxEstimates: 4_096 };

/** Least weight of a new observation, so that estimates adapt when the jobs of a team change. */
const MIN_OBSERVATION_WEIGHT = 0.1;

/** Weight of the prior, as a number of observations. */
const PRIOR_OBSERVATIONS = 4;

/** Initial variance: in traces, declared run times differ from true ones by a factor of 4. */
const DEFAULT_LOG_VARIANCE = Math.log(4) ** 2;

/** Observed ratios are clamped to 64 in both directions, to limit the effect of outliers. */
const MAX_LOG_RATIO = Math.log(64);

/** Standard deviations above the mean that about 5% of jobs exceed. */
const UPPER_BOUND_DEVIATIONS = 1.645;

const DEFAULT_ESTIMATE: Readonly<LogRatioEstimate> = { mean: 0, variance: DEFAULT_LOG_VARIANCE, observations: 0 };

const updateEstimate = (estimate: LogRatioEstimate, logRatio: number): void => {
    estimate.observations += 1;
    const weight = Math.max(MIN_OBSERVATION_WEIGHT, 1 / estimate.observations);
    const delta = logRatio - estimate.mean;
    estimate.mean += weight * delta;
    estimate.variance = (1 - weight) * (estimate.variance + weight * delta * delta);
};

const combineWithPrior = (estimate: LogRatioEstimate, prior: Readonly<LogRatioEstimate>): LogRatioEstimate => {
    const share = estimate.observations / (estimate.observations + PRIOR_OBSERVATIONS);
    const distance = estimate.mean - prior.mean;
    return {
        mean: prior.mean + share * distance,
        variance: share * estimate.variance + (1 - share) * prior.variance + share * (1 - share) * distance * distance,
        observations: estimate.observations,
    };
};

/** Learns, for each team and class, the ratio of true to declared run times. */
export class RunTimeLearner implements RunTimePredictor {
    readonly #options: RunTimeLearnerOptions;
    readonly #byTeamAndClass = new Map<string, LogRatioEstimate>();
    readonly #byClass = new Map<WorkClass, LogRatioEstimate>();

    constructor(options: RunTimeLearnerOptions = DEFAULT_RUN_TIME_LEARNER_OPTIONS) {
        this.#options = options;
    }

    /** Updates the estimates with the actual run time of a finished job. */
    observe(spec: JobSpec, actualMs: number): void {
        const logRatio = Math.log(Math.max(1, actualMs) / spec.declaredRunMs);
        const clamped = Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, logRatio));
        const ofClass = this.#byClass.get(spec.workClass) ?? { ...DEFAULT_ESTIMATE };
        this.#byClass.set(spec.workClass, ofClass);
        updateEstimate(ofClass, clamped);
        const key = this.#estimateKey(spec);
        const ofTeam = this.#byTeamAndClass.get(key) ?? { ...DEFAULT_ESTIMATE };
        // Deleting first moves the entry to the end of the insertion order.
        this.#byTeamAndClass.delete(key);
        this.#byTeamAndClass.set(key, ofTeam);
        updateEstimate(ofTeam, clamped);
        this.#dropOldest();
    }

    expectedMs(spec: JobSpec): number {
        return spec.declaredRunMs * Math.exp(this.#estimate(spec).mean);
    }

    upperBoundMs(spec: JobSpec): number {
        const { mean, variance } = this.#estimate(spec);
        return spec.declaredRunMs * Math.exp(mean + UPPER_BOUND_DEVIATIONS * Math.sqrt(variance));
    }

    #estimateKey({ team, workClass }: JobSpec): string {
        return `${workClass} ${team}`;
    }

    #estimate(spec: JobSpec): LogRatioEstimate {
        const ofClass = this.#byClass.get(spec.workClass);
        const prior = ofClass === undefined ? DEFAULT_ESTIMATE : combineWithPrior(ofClass, DEFAULT_ESTIMATE);
        return combineWithPrior(this.#byTeamAndClass.get(this.#estimateKey(spec)) ?? DEFAULT_ESTIMATE, prior);
    }

    #dropOldest(): void {
        const oldest = this.#byTeamAndClass.keys().next();
        if (this.#byTeamAndClass.size > this.#options.maxEstimates && oldest.done !== true) {
            this.#byTeamAndClass.delete(oldest.value);
        }
    }
}
