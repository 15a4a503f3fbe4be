import type { RunTimeCorrection } from "@persimmonpitch/placement/clusterView.js";
import type { JobSpec } from "@persimmonpitch/schema/job.js";
import type { Trace } from "./traceSchema.js";

/** Before anything is learned, declared run times are taken as right within a factor of 4, with this weight. */
const PRIOR_WEIGHT = 3;
const PRIOR_SIGMA = Math.log(4);
/** Standard deviations above the mean of the logarithm: exceeded by one job in twenty. */
const UPPER_SIGMAS = 1.645;

interface Moments {
    count: number;
    sum: number;
    squares: number;
}

const keyOf = ({ team, workClass }: JobSpec): string => `${team}/${workClass}`;

/** Learns the ratio of true to declared run time of each team and class from finished jobs. */
export class RunTimeLearner implements RunTimeCorrection {
    private readonly moments = new Map<string, Moments>();

    /** Records a finished job. */
    learn(spec: JobSpec, trueRunMs: number): void {
        const moments = this.moments.get(keyOf(spec)) ?? { count: 0, sum: 0, squares: 0 };
        const logRatio = Math.log(trueRunMs / spec.declaredRunMs);
        moments.count += 1;
        moments.sum += logRatio;
        moments.squares += logRatio ** 2;
        this.moments.set(keyOf(spec), moments);
    }

    expected(spec: JobSpec): number {
        return spec.declaredRunMs * Math.exp(this.estimate(spec).mean);
    }

    upper(spec: JobSpec): number {
        const { mean, sigma } = this.estimate(spec);
        return spec.declaredRunMs * Math.exp(mean + UPPER_SIGMAS * sigma);
    }

    private estimate(spec: JobSpec): { readonly mean: number; readonly sigma: number; } {
        const { count, sum, squares } = this.moments.get(keyOf(spec)) ?? { count: 0, sum: 0, squares: 0 };
        const weight = count + PRIOR_WEIGHT;
        const mean = sum / weight;
        const variance = (squares + PRIOR_WEIGHT * PRIOR_SIGMA ** 2) / weight - mean ** 2;
        return { mean, sigma: Math.sqrt(Math.max(0, variance)) };
    }
}

/** Run times as only the fake workers know them. */
export const trueRunTimes = ({ jobs }: Trace): RunTimeCorrection => {
    const byKey = new Map(jobs.map(({ spec, trueRunMs }) => [spec.requestKey, trueRunMs]));
    const lookUp = ({ requestKey, declaredRunMs }: JobSpec) => byKey.get(requestKey) ?? declaredRunMs;
    return { expected: lookUp, upper: lookUp };
};
