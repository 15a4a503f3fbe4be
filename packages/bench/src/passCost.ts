import type { ClusterView, GuaranteeBinding, PlacedJob, QueuedJob } from "@persimmonpitch/placement/clusterView.js";
import { FreeSpace } from "./freeSpace.js";
import { summarize } from "./measures.js";
import type { PolicyName, PolicyOptions } from "./policies.js";
import { POLICIES } from "./policies.js";
import { ReplayCluster } from "./replayCluster.js";
import { alignTable } from "./report.js";
import { RunTimeLearner } from "./runTimeLearner.js";
import { HOUR_MS, makeTrace } from "./trace.js";
import { makeDeployment } from "./traceDeployments.js";

/** Sizes at which a pass is timed, as multiples of the plan. */
const SCALES = [1, 2, 4] as const;
const WAITING_JOBS = 1_000;
/** Target of section 12 for the 99th percentile at the size of the plan. */
const PASS_P99_MS = 20;
/** Passes before timing starts, so that the code is compiled. */
const WARM_UP_PASSES = 5;
/** At the size of the plan; larger sizes, of which only the median counts, get fewer. */
const TIMED_PASSES = 100;
const MICROSECONDS = 1_000;
/** Enough jobs to fill the workers and to wait. */
const TRACE_HOURS = 90;

/** Wall time of one placement pass at one size. */
export interface PassCost {
    readonly scale: number;
    readonly vms: number;
    readonly waiting: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
    /** Median cost in multiples of the cost at the smallest size. */
    readonly ratio: number;
    /** What n log n over workers and jobs allows for the ratio. */
    readonly ratioBound: number;
}

/** Full workers and waiting jobs: `scale` times the plan with 1,000 waiting jobs. */
export const makeSaturatedView = (scale: number, seed: number): ClusterView => {
    const deployment = makeDeployment("plan", scale);
    const cluster = new ReplayCluster(deployment.vms);
    const space = new FreeSpace(cluster.views());
    const placed: PlacedJob[] = [];
    const queued: QueuedJob[] = [];
    const now = TRACE_HOURS * scale * HOUR_MS;
    const { jobs } = makeTrace({ deployment: "plan", seed, hours: TRACE_HOURS * scale, calm: true });
    for (const { jobId, spec, submitAt } of jobs) {
        const members = spec.workClass === "urgent" ? undefined : space.findMembers(spec.gang);
        if (members !== undefined) {
            space.take(members, spec.gang);
            cluster.take(jobId, members, spec.gang);
            placed.push({ jobId, spec, members, startedAt: submitAt, stopping: false });
        }
        else if (queued.length < WAITING_JOBS * scale) {
            queued.push({ jobId, spec, submittedAt: submitAt, failedOn: [], savedProgress: 0 });
        }
    }
    const { guarantees, teams, rules } = deployment;
    const runTimes = new RunTimeLearner();
    return { now, vms: cluster.views(), placed, queued, guarantees, bindings: [], teams, rules, runTimes };
};

const timePasses = (name: PolicyName, options: PolicyOptions, view: ClusterView, passes: number): number[] => {
    let bindings: readonly GuaranteeBinding[] = [];
    const times: number[] = [];
    for (let pass = 0; pass < WARM_UP_PASSES + passes; pass += 1) {
        const start = performance.now();
        const decisions = POLICIES[name].pass({ ...view, bindings }, options);
        const time = performance.now() - start;
        bindings = decisions.bindings;
        if (pass >= WARM_UP_PASSES) {
            times.push(time);
        }
    }
    return times;
};

/** Times the placement pass of one policy; wall times are printed and never asserted. */
export const measurePassCost = (name: PolicyName, options: PolicyOptions, seed: number): PassCost[] => {
    const costs: PassCost[] = [];
    for (const scale of SCALES) {
        const view = makeSaturatedView(scale, seed);
        const times = summarize(timePasses(name, options, view, TIMED_PASSES / scale).map(time => time * MICROSECONDS));
        const p50Ms = times.p50Ms / MICROSECONDS;
        const first = costs[0];
        const size = view.vms.length + view.queued.length;
        const firstSize = first === undefined ? size : first.vms + first.waiting;
        costs.push({
            scale,
            vms: view.vms.length,
            waiting: view.queued.length,
            p50Ms,
            p99Ms: times.p99Ms / MICROSECONDS,
            ratio: p50Ms / (first?.p50Ms ?? p50Ms),
            ratioBound: size * Math.log(size) / (firstSize * Math.log(firstSize)),
        });
    }
    return costs;
};

/** Times the placement passes of several policies. */
export const measurePassCosts = (names: readonly PolicyName[], options: PolicyOptions, seed: number) =>
    new Map(names.map(name => [name, measurePassCost(name, options, seed)]));

/** The costs as aligned text with the targets of section 12, or nothing if nothing was timed. */
export const formatPassCosts = (costs: ReadonlyMap<PolicyName, readonly PassCost[]>): string[] => {
    const rows = [...costs].flatMap(([name, ofPolicy]) =>
        ofPolicy.map(({ scale, vms, waiting, p50Ms, p99Ms, ratio, ratioBound }) => [
            `${name}, ${scale}x`,
            String(vms),
            String(waiting),
            p50Ms.toFixed(2),
            p99Ms.toFixed(2),
            scale > 1 ? "" : p99Ms <= PASS_P99_MS ? "pass" : "fail",
            ratio.toFixed(2),
            ratioBound.toFixed(2),
            ratio <= ratioBound ? "pass" : "fail",
        ])
    );
    const header = ["one pass, wall time", "VMs", "waiting", "p50 ms", "p99 ms", "20 ms", "ratio", "n log n", ""];
    return rows.length === 0 ? [] : [alignTable([header, ...rows])];
};
