import type {
    AdvisedExecutors,
    DispatchView,
    ExecutorView,
    JobView,
    RunView,
} from "@persimmonpitch/dispatch/dispatchView.js";
import type { ClusterConfig } from "@persimmonpitch/workload/clusterConfig.js";
import type { Demand } from "@persimmonpitch/workload/step.js";
import type { ActiveJobs } from "./activeJobs.js";
import type { ClusterState } from "./clusterState.js";
import type { ControllerContext } from "./controllerContext.js";
import type { ExecutorState, TrackedRun } from "./executorState.js";
import { queueFinder } from "./queueOfJob.js";

/** Builds the input of a dispatch pass from the controller's state. */
export const buildDispatchView = (
    context: ControllerContext,
    config: ClusterConfig,
    jobs: ActiveJobs,
    cluster: ClusterState,
    advised: AdvisedExecutors,
): DispatchView => {
    const storeClockOffsetMs = context.storeClockOffsetMs();
    const now = context.clock.now();
    const times = { now, storeClockOffsetMs };
    return {
        now: now + storeClockOffsetMs,
        wallTime: context.clock.wallTime(),
        timings: context.timings,
        teams: config.teams,
        jobs: jobViews(config, jobs),
        executors: [...cluster.executors.values()].flatMap(state => executorView(context, state, times)),
        samples: cluster.samples.samples,
        slowness: cluster.samples.speeds.slowness,
        advised,
    };
};

const jobViews = (config: ClusterConfig, jobs: ActiveJobs): readonly JobView[] => {
    const queueOf = queueFinder(config);
    return [...jobs.byId.values()].flatMap(openJob => {
        const queue = queueOf(openJob.job);
        // Ended jobs stay in the view while they still have runs, because their demand still counts.
        return queue === undefined ? [] : [{ job: openJob.job, progress: openJob.progress, queue }];
    });
};

const executorView = (
    { evacuation }: ControllerContext,
    state: ExecutorState,
    { now, storeClockOffsetMs }: { readonly now: number; readonly storeClockOffsetMs: number; },
): readonly ExecutorView[] => {
    const { info } = state;
    if (info === undefined) {
        return [];
    }
    return [{
        vm: state.vm,
        executorId: state.executorId,
        born: state.born,
        service: info.service,
        rack: info.rack,
        labels: info.labels,
        capacity: [...state.unclaimedRuns.values()].reduce((rest, { demand }) => subtract(rest, demand), info.capacity),
        takesWork: state.isAttached && !info.isDraining && now >= state.backoffUntil
            && !evacuation.isEvacuated(info.dataCentre),
        leavesInMs: info.isDraining ? info.remainingMs ?? 0 : undefined,
        ...(info.coldRemainingMs === undefined ? {} : { coldRemainingMs: info.coldRemainingMs }),
        listedAt: toStoreTime(state.clock?.at, storeClockOffsetMs),
        runs: [...state.runs.values()].map(run => runView(run, storeClockOffsetMs)),
        recentEnds: state.recentEnds.map(end => ({ ...end, at: end.at + storeClockOffsetMs })),
    }];
};

const subtract = (from: Demand, demand: Demand): Demand => ({
    milliCores: from.milliCores - demand.milliCores,
    memoryMb: from.memoryMb - demand.memoryMb,
    accelerators: from.accelerators - demand.accelerators,
});

const toStoreTime = (at: number | undefined, storeClockOffsetMs: number): number | undefined =>
    at === undefined ? undefined : at + storeClockOffsetMs;

const runView = (run: TrackedRun, storeClockOffsetMs: number): RunView => ({
    jobId: run.jobId,
    key: run.key,
    run: run.run,
    demand: run.demand,
    orderedAt: run.orderedAt + storeClockOffsetMs,
    isStopping: run.isStopping || run.isTaskDone,
    percent: run.percent,
    progressAt: toStoreTime(run.progressAt, storeClockOffsetMs),
    firstPercent: run.firstPercent,
    firstListedAt: toStoreTime(run.firstListedAt, storeClockOffsetMs),
});
