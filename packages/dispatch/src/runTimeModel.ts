import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { RunSample } from "./dispatchView.js";
import { groupBy } from "./groupBy.js";

/** Log-normal model of the run times of a queue. */
export interface RunTimeModel {
    /** Mean of the logarithm of the run time. */
    readonly mean: number;
    /** Variance of the logarithm of the run time, including the uncertainty of the mean. */
    readonly variance: number;
    /** Mean square of the logarithm of declared divided by actual run time. */
    readonly declaredVariance: number;
}

/** Run time of a task without a declared time in a queue without samples. */
const DEFAULT_RUN_MS: Millis = 5_000;

/** Prior variances: run times within a queue vary less than declared times differ from actual ones. */
const PRIOR_VARIANCE = 0.45 ** 2;
const PRIOR_DECLARED_VARIANCE = 0.7 ** 2;

/** Number of samples at which the measured variance has the same weight as the prior. */
const PRIOR_WEIGHT = 4;

const meanOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

const blendedVariance = (deviations: readonly number[], prior: number): number =>
    (PRIOR_WEIGHT * prior + deviations.reduce((sum, deviation) => sum + deviation ** 2, 0))
    / (PRIOR_WEIGHT + deviations.length);

const modelOf = (declared: readonly Millis[], samples: readonly RunSample[]): RunTimeModel => {
    const actual = samples.map(({ actualMs }) => Math.log(actualMs));
    const errors = samples
        .filter(({ declaredMs }) => declaredMs > 0)
        .map(({ declaredMs, actualMs }) => Math.log(declaredMs / actualMs));
    const declaredVariance = blendedVariance(errors, PRIOR_DECLARED_VARIANCE);
    const declaredLogs = declared.map(time => Math.log(time));
    // Declared times measure the mean of the queue too, with a larger variance than actual times.
    const actualWeight = actual.length / PRIOR_VARIANCE;
    const declaredWeight = declaredLogs.length / (PRIOR_VARIANCE + declaredVariance);
    const weight = actualWeight + declaredWeight;
    if (weight === 0) {
        return { mean: Math.log(DEFAULT_RUN_MS), variance: 1, declaredVariance };
    }
    const mean = ((actual.length > 0 ? meanOf(actual) * actualWeight : 0)
        + (declaredLogs.length > 0 ? meanOf(declaredLogs) * declaredWeight : 0)) / weight;
    const variance = blendedVariance(actual.map(value => value - mean), PRIOR_VARIANCE) + 1 / weight;
    return { mean, variance, declaredVariance };
};

/** Models of all queues, from the declared times of open jobs and the run times of ended tasks. */
export const runTimeModels = (
    declared: ReadonlyMap<string, readonly Millis[]>,
    samples: readonly RunSample[],
): ReadonlyMap<string, RunTimeModel> => {
    const byQueue = groupBy(samples, ({ queue }) => queue);
    return new Map(
        [...declared].map(([queue, times]) => [queue, modelOf(times, byQueue.get(queue) ?? [])]),
    );
};

/** The expected run time: declared time and mean of the queue, weighted by their inverse variances. */
export const expectedRunMs = (model: RunTimeModel | undefined, declaredMs: Millis): Millis => {
    if (model === undefined) {
        return declaredMs > 0 ? declaredMs : DEFAULT_RUN_MS;
    }
    if (declaredMs <= 0) {
        return Math.exp(model.mean);
    }
    const declaredWeight = 1 / model.declaredVariance;
    const queueWeight = 1 / model.variance;
    const mean = (Math.log(declaredMs) * declaredWeight + model.mean * queueWeight) / (declaredWeight + queueWeight);
    return Math.exp(mean);
};
