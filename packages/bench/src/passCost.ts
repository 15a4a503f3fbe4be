import type { ClusterView, GuaranteeBinding, PlacedJob, QueuedJob } from "@persimmonpitch/placement/clusterView.js";
import { placementPass } from "@persimmonpitch/placement/placementPass.js";
import { RunTimeLearner } from "@persimmonpitch/placement/runTimeLearner.js";
import { summarize } from "./measures.js";
import type { PolicyName, PolicyOptions } from "./policies.js";
import { POLICIES } from "./policies.js";
import { ReplayCluster } from "./replayCluster.js";
import { alignTable } from "./report.js";
import { HOUR_MS, makeTrace } from "./trace.js";
import { makeDeployment } from "./traceDeployments.js";

/** Sizes at which a pass is timed, as multiples of the plan. */
const SCALES = [1, 2, 4] as const;
const WAITING_JOBS = 1_000;
/** Target of section 12 for the 99th percentile at the size of the plan. */
const PASS_P99_MS = 20;
/** Passes before timing starts; the compiler still improves the code after 100. */
const WARM_UP_PASSES = 200;
/** At the size of the plan; larger sizes, of which only the median counts, get fewer. */
const TIMED_PASSES = 200;
const MICROSECONDS = 1_000;
/** Enough jobs to fill the workers and to wait. */
const TRACE_HOURS = 90;
/** Small jobs submitted for each other job, so that a full cluster of the plan runs about 4,500 tasks. */
const SMALL_JOBS_RUN = 40;
const SMALL_JOB_ACCELERATORS = 2;
/** Passes after which a cluster counts as full even if some still start jobs. */
const MAX_FILL_PASSES = 60;
/** Starts in one pass from which a cluster is not yet full. */
const FEW_STARTS = 3;
/** One placed job in this many still runs in the case with many starts. */
const KEPT_JOBS = 10;

/** What a timed pass finds. */
export type PassCase = "saturated" | "manyStarts";

/** Cost of one placement pass at one size. */
export interface PassCost {
    readonly passCase: PassCase;
    readonly scale: number;
    readonly vms: number;
    readonly tasks: number;
    readonly waiting: number;
    readonly starts: number;
    /** Processor time of all threads, which other load on the machine disturbs less than wall time. */
    readonly cpuP50Ms: number;
    readonly cpuP99Ms: number;
    readonly wallP50Ms: number;
    readonly wallP99Ms: number;
    /** Median processor time in multiples of that at the smallest size. */
    readonly ratio: number;
    /** What n log n over workers and jobs allows for the ratio. */
    readonly ratioBound: number;
}

const isSmall = ({ spec: { gang } }: QueuedJob): boolean =>
    gang.vms === 1 && gang.acceleratorsPerVm <= SMALL_JOB_ACCELERATORS;

/** The jobs of a trace, with a run of small ones before each other one. */
const mixedJobs = (scale: number, seed: number): QueuedJob[] => {
    const { jobs } = makeTrace({ deployment: "plan", seed, hours: TRACE_HOURS * scale, calm: true });
    const queued = jobs.map(({ jobId, spec, submitAt }): QueuedJob => ({
        jobId,
        spec,
        submittedAt: submitAt,
        failedOn: [],
        savedProgress: 0,
    }));
    const small = queued.filter(isSmall);
    return queued.filter(job => !isSmall(job)).flatMap((job, index) => [
        ...small.slice(index * SMALL_JOBS_RUN, (index + 1) * SMALL_JOBS_RUN),
        job,
    ]);
};

/** Full workers with bound guarantees and 1,000 waiting jobs at `scale` times the plan, filled by the real policy. */
export const makeSaturatedView = (scale: number, seed: number): ClusterView => {
    const deployment = makeDeployment("plan", scale);
    const cluster = new ReplayCluster(deployment.vms);
    const { guarantees, teams, rules } = deployment;
    const runTimes = new RunTimeLearner();
    const now = TRACE_HOURS * scale * HOUR_MS;
    const toSubmit = mixedJobs(scale, seed).reverse();
    const placed: PlacedJob[] = [];
    let queued: readonly QueuedJob[] = [];
    let bindings: readonly GuaranteeBinding[] = [];
    const viewNow = (): ClusterView => {
        const vms = cluster.views();
        return { now, vms, placed, queued, guarantees, bindings, teams, rules, runTimes };
    };
    for (let pass = 0; pass < MAX_FILL_PASSES; pass += 1) {
        const waiting = new Map(queued.map(job => [job.jobId, job]));
        const decisions = placementPass(viewNow());
        bindings = decisions.bindings;
        for (const { jobId, members } of decisions.starts) {
            const job = waiting.get(jobId);
            if (job !== undefined) {
                cluster.take(jobId, members, job.spec.gang);
                placed.push({ jobId, spec: job.spec, members, startedAt: job.submittedAt, stopping: false });
            }
        }
        for (const { jobId } of [...decisions.starts, ...decisions.refusals]) {
            waiting.delete(jobId);
        }
        const isFull = waiting.size >= WAITING_JOBS * scale && decisions.starts.length < FEW_STARTS;
        if (isFull) {
            queued = [...waiting.values()];
            break;
        }
        const room = Math.max(0, WAITING_JOBS * scale - waiting.size);
        queued = [...waiting.values(), ...toSubmit.splice(Math.max(0, toSubmit.length - room)).reverse()];
    }
    return viewNow();
};

/** The saturated view after most of its jobs have ended, so that one pass starts many. */
export const makeManyStartsView = (scale: number, seed: number): ClusterView => {
    const view = makeSaturatedView(scale, seed);
    const placed = view.placed.filter((_, index) => index % KEPT_JOBS === 0);
    const cluster = new ReplayCluster(makeDeployment("plan", scale).vms);
    for (const { jobId, members, spec } of placed) {
        cluster.take(jobId, members, spec.gang);
    }
    return { ...view, placed, vms: cluster.views() };
};

const CASES: { readonly [K in PassCase]: (scale: number, seed: number) => ClusterView; } = {
    saturated: makeSaturatedView,
    manyStarts: makeManyStartsView,
};

interface PassTimes {
    readonly wallMs: number[];
    readonly cpuMs: number[];
    readonly starts: number;
}

const timePasses = (name: PolicyName, options: PolicyOptions, view: ClusterView, passes: number): PassTimes => {
    let { bindings } = view;
    let starts = 0;
    const wallMs: number[] = [];
    const cpuMs: number[] = [];
    for (let pass = 0; pass < WARM_UP_PASSES + passes; pass += 1) {
        const cpuBefore = process.cpuUsage();
        const start = performance.now();
        const decisions = POLICIES[name].pass({ ...view, bindings }, options);
        const wall = performance.now() - start;
        const { user, system } = process.cpuUsage(cpuBefore);
        bindings = decisions.bindings;
        starts = decisions.starts.length;
        if (pass >= WARM_UP_PASSES) {
            wallMs.push(wall);
            cpuMs.push((user + system) / MICROSECONDS);
        }
    }
    return { wallMs, cpuMs, starts };
};

/** The histogram keeps whole numbers, so it is given microseconds. */
const percentiles = (times: readonly number[]): { readonly p50Ms: number; readonly p99Ms: number; } => {
    const { p50Ms, p99Ms } = summarize(times.map(time => time * MICROSECONDS));
    return { p50Ms: p50Ms / MICROSECONDS, p99Ms: p99Ms / MICROSECONDS };
};

const measureCase = (passCase: PassCase, name: PolicyName, options: PolicyOptions, seed: number): PassCost[] => {
    const costs: PassCost[] = [];
    for (const scale of SCALES) {
        const view = CASES[passCase](scale, seed);
        const times = timePasses(name, options, view, TIMED_PASSES / scale);
        const cpu = percentiles(times.cpuMs);
        const wall = percentiles(times.wallMs);
        const first = costs[0];
        const size = view.vms.length + view.queued.length;
        const firstSize = first === undefined ? size : first.vms + first.waiting;
        costs.push({
            passCase,
            scale,
            vms: view.vms.length,
            tasks: view.placed.reduce((sum, { members }) => sum + members.length, 0),
            waiting: view.queued.length,
            starts: times.starts,
            cpuP50Ms: cpu.p50Ms,
            cpuP99Ms: cpu.p99Ms,
            wallP50Ms: wall.p50Ms,
            wallP99Ms: wall.p99Ms,
            ratio: cpu.p50Ms / (first?.cpuP50Ms ?? cpu.p50Ms),
            ratioBound: size * Math.log(size) / (firstSize * Math.log(firstSize)),
        });
    }
    return costs;
};

/** Times the placement pass of one policy in each case; times are printed and never asserted. */
export const measurePassCost = (name: PolicyName, options: PolicyOptions, seed: number): PassCost[] => [
    ...measureCase("saturated", name, options, seed),
    ...measureCase("manyStarts", name, options, seed),
];

/** Times the placement passes of several policies. */
export const measurePassCosts = (names: readonly PolicyName[], options: PolicyOptions, seed: number) =>
    new Map(names.map(name => [name, measurePassCost(name, options, seed)]));

/** The costs as aligned text with the targets of section 12, or nothing if nothing was timed. */
export const formatPassCosts = (costs: ReadonlyMap<PolicyName, readonly PassCost[]>): string[] => {
    const rows = [...costs].flatMap(([name, ofPolicy]) =>
        ofPolicy.map(cost => [
            `${name}, ${cost.passCase}, ${cost.scale}x`,
            String(cost.vms),
            String(cost.tasks),
            String(cost.waiting),
            String(cost.starts),
            cost.cpuP50Ms.toFixed(2),
            cost.cpuP99Ms.toFixed(2),
            cost.wallP50Ms.toFixed(2),
            cost.wallP99Ms.toFixed(2),
            cost.scale > 1 ? "" : cost.wallP99Ms <= PASS_P99_MS ? "pass" : "fail",
            cost.ratio.toFixed(2),
            cost.ratioBound.toFixed(2),
            cost.ratio <= cost.ratioBound ? "pass" : "fail",
        ])
    );
    const times = ["cpu p50 ms", "cpu p99 ms", "wall p50 ms", "wall p99 ms", "20 ms"];
    const header = ["one pass", "VMs", "tasks", "waiting", "starts", ...times, "ratio", "n log n", ""];
    return rows.length === 0 ? [] : [alignTable([header, ...rows])];
};
