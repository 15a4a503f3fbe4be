import { feasibleJobs, meanCompletionBound } from "./lowerBound.js";
import { measure } from "./measures.js";
import type { Measures } from "./measuresSchema.js";
import type { PolicyName, PolicyOptions } from "./policies.js";
import { POLICIES } from "./policies.js";
import { replay } from "./replay.js";
import { ReplayError } from "./replayCluster.js";
import type { ReplayResult } from "./replayResult.js";
import { makeTrace } from "./trace.js";
import type { DeploymentName, Trace } from "./traceSchema.js";
import { makeRenderTraces } from "./traceSingleTargets.js";

/** What one run of the benchmark covers. */
export interface RunOptions {
    readonly deployment: DeploymentName;
    readonly seed: number;
    readonly hours?: number;
    readonly policies: readonly PolicyName[];
    readonly options: PolicyOptions;
}

/** The replay of one policy with its measures. */
export interface PolicyRun {
    readonly result: ReplayResult;
    readonly measures: Measures;
    /** Lower bound of the mean completion time with true run times known. */
    readonly meanBoundMs: number;
    /** 99th percentile of the completion time of quick renders, alone and against saturation; Cooperative only. */
    readonly renders?: { readonly aloneMs: number; readonly saturatedMs: number; };
}

/** The policies side by side on one trace. */
export interface BenchRun {
    readonly trace: Trace;
    readonly policies: ReadonlyMap<PolicyName, PolicyRun>;
    /** Policies that broke an invariant, with the error. */
    readonly broken: ReadonlyMap<PolicyName, string>;
}

/** Renders are short: the batches that still wait after this time do not matter to their completion. */
const RENDER_DRAIN_MS = 30 * 60_000;

const renderP99 = (trace: Trace, name: PolicyName, options: PolicyOptions): number =>
    measure(replay(trace, POLICIES[name], options, RENDER_DRAIN_MS), new Set()).completionByClass.interactive.p99Ms;

/** Replays one trace through each policy. */
export const runBench = ({ deployment, seed, hours, policies, options }: RunOptions): BenchRun => {
    const length = hours === undefined ? {} : { hours };
    const trace = makeTrace({ deployment, seed, ...length });
    const feasible = feasibleJobs(trace);
    const renderTraces = deployment === "cooperative" ? makeRenderTraces(seed) : undefined;
    const runPolicy = (name: PolicyName): PolicyRun => {
        const result = replay(trace, POLICIES[name], options);
        const run = { result, measures: measure(result, feasible), meanBoundMs: meanCompletionBound(result) };
        if (renderTraces === undefined) {
            return run;
        }
        const aloneMs = renderP99(renderTraces.alone, name, options);
        return { ...run, renders: { aloneMs, saturatedMs: renderP99(renderTraces.saturated, name, options) } };
    };
    const runs = new Map<PolicyName, PolicyRun>();
    const broken = new Map<PolicyName, string>();
    for (const name of policies) {
        try {
            runs.set(name, runPolicy(name));
        }
        catch (err) {
            if (!(err instanceof ReplayError)) {
                throw err;
            }
            broken.set(name, err.message);
        }
    }
    return { trace, policies: runs, broken };
};
