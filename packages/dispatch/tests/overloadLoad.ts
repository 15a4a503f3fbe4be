import type { Millis } from "@persimmonpitch/clock/clock.js";
import { teamSchema } from "@persimmonpitch/workload/clusterConfig.js";
import { timingsSchema } from "@persimmonpitch/workload/timings.js";
import fc from "fast-check";
import type { DispatchOptions } from "../src/dispatchOptions.js";
import type { JobView } from "../src/dispatchView.js";
import { FakeCluster } from "../src/fakeCluster.js";
import { executorsOf, jobOf, type QUEUES } from "./dispatchFixture.js";

const EXECUTORS = 24;
const ARRIVALS_MS: Millis = 60_000;
const DRAIN_MS: Millis = 60_000;
const RECLAIM_MS: Millis = 3_000;

/** A controller also decides at every change. */
const IDLE_PASS_MS: Millis = 250;

/** Jobs of priority 0 that arrive at the same time, this often. */
const BURST_JOBS = 4;
const BURST_EVERY_MS: Millis = 9_000;

/** Two teams with guarantees and one without. */
const LOAD_TEAMS = [
    teamSchema.parse({ name: "weavers", guaranteedAccelerators: 48 }),
    teamSchema.parse({ name: "dyers", guaranteedAccelerators: 32 }),
    teamSchema.parse({ name: "potters" }),
];

type QueueName = keyof typeof QUEUES;

interface LoadShape {
    readonly everyMs: Millis;
    readonly tasks: number;
    readonly accelerators: readonly number[];
    readonly runMs: readonly [Millis, Millis];
    readonly gangShare: number;
}

/** The queues of the measured installations (docs/overload.md), scaled to 192 accelerators. */
const SHAPES: { readonly [K in QueueName]: LoadShape; } = {
    counter: { everyMs: 1_700, tasks: 5, accelerators: [1, 2, 2, 4, 8], runMs: [3_000, 3_600], gangShare: 0.8 },
    batch: { everyMs: 6_000, tasks: 8, accelerators: [1, 2, 2, 4, 8], runMs: [13_000, 16_000], gangShare: 0.8 },
    preview: { everyMs: 9_000, tasks: 39, accelerators: [1], runMs: [11_000, 14_000], gangShare: 0.2 },
};

interface LoadJob {
    readonly view: JobView;
    readonly runMs: Millis;
}

const draws = (queue: QueueName, count: number, seed: number) => {
    const { accelerators, runMs: [least, most] } = SHAPES[queue];
    const job = fc.record({
        accelerators: fc.nat({ max: accelerators.length - 1 }).map(index => accelerators[index] ?? 1),
        runMs: fc.integer({ min: least, max: most }),
        // Declared times are wrong by up to a third.
        declaredPercent: fc.integer({ min: 67, max: 133 }),
        chance: fc.integer({ min: 0, max: 99 }),
        checkpointChance: fc.integer({ min: 0, max: 99 }),
        team: fc.constantFrom("weavers", "weavers", "dyers", "potters"),
        delayShare: fc.integer({ min: 0, max: 99 }),
    });
    return fc.sample(fc.noBias(job), { seed, numRuns: count });
};

const jobsOf = (queue: QueueName, intensity: number, seed: number): readonly LoadJob[] => {
    const { everyMs, tasks, gangShare } = SHAPES[queue];
    const gapMs = everyMs / intensity;
    const count = Math.floor(ARRIVALS_MS / gapMs);
    const burstCount = queue === "counter" ? Math.floor(ARRIVALS_MS / BURST_EVERY_MS) * BURST_JOBS : 0;
    return draws(queue, count + burstCount, seed).map((drawn, index): LoadJob => {
        const { accelerators, runMs, declaredPercent, chance, checkpointChance, team, delayShare } = drawn;
        const acceptedAt = index < count
            ? Math.floor(gapMs * (index + delayShare / 100))
            : BURST_EVERY_MS * (1 + Math.floor((index - count) / BURST_JOBS));
        const isGang = chance < 100 * gangShare;
        const step = {
            ...{ count: tasks, isGang, declaredMs: runMs * declaredPercent / 100, demand: { accelerators } },
            hasCheckpoints: checkpointChance < 50,
        };
        return { view: jobOf({ id: `${queue}${index}`, queue, team, acceptedAt, steps: [step] }), runMs };
    });
};

/** What came of a replayed load. */
export interface LoadResult {
    readonly stops: number;
    readonly lostCoreSeconds: number;
    readonly urgentOnTime: number;
    readonly urgentJobs: number;
    readonly otherOnTime: number;
    readonly otherJobs: number;
    readonly unfinished: number;
    /** Most runs of one task. */
    readonly mostRuns: number;
    /** Stops for preemption of the job with the most of them, divided by the number of its tasks. */
    readonly mostStopsPerTask: number;
}

/** Replays the load of one seed; intensity 1 is near the capacity. */
export const replayLoad = (
    intensity: number,
    seed: number,
    dispatch: Partial<DispatchOptions> = {},
): LoadResult => {
    const names: readonly QueueName[] = ["counter", "batch", "preview"];
    const jobs = names
        .flatMap((queue, index) => jobsOf(queue, intensity, 10 * seed + index))
        .sort((left, right) => left.view.job.acceptedAt - right.view.job.acceptedAt);
    const runMsOf = new Map(jobs.map(({ view, runMs }) => [view.job.jobId, runMs]));
    const cluster = new FakeCluster({
        ...{ executors: executorsOf(EXECUTORS), teams: LOAD_TEAMS, dispatch, idlePassMs: IDLE_PASS_MS },
        timings: timingsSchema.parse({ reclaimMs: RECLAIM_MS }),
        // Tasks of one step differ by up to 15%.
        trueMs: (jobId, _step, key) => (runMsOf.get(jobId) ?? 0) * (1 + 0.03 * (Number(key.split(".")[2]) % 6 - 3)),
    });
    const waiting = [...jobs];
    cluster.runUntil(ARRIVALS_MS + DRAIN_MS, now => {
        while (waiting[0] !== undefined && waiting[0].view.job.acceptedAt <= now) {
            waiting.splice(0, 1).forEach(({ view }) => {
                cluster.submit(view);
            });
        }
    });
    const isOnTime = ({ view: { job, queue }, runMs }: LoadJob): boolean => {
        const endedAt = cluster.records.get(job.jobId)?.endedAt ?? Infinity;
        return endedAt - job.acceptedAt <= queue.slackFactor * runMs + queue.targetLatencyMs;
    };
    const urgent = jobs.filter(({ view }) => view.queue.priority === 0);
    const others = jobs.filter(({ view }) => view.queue.priority > 0);
    const stopsByTask = new Map<string, number>();
    const stopsByJob = new Map<string, number>();
    for (const line of cluster.log.filter(one => one.endsWith("preempted"))) {
        const task = line.split(" ")[2] ?? "";
        const job = task.split(".")[0] ?? "";
        stopsByTask.set(task, (stopsByTask.get(task) ?? 0) + 1);
        stopsByJob.set(job, (stopsByJob.get(job) ?? 0) + 1);
    }
    const countOf = new Map(jobs.map(({ view: { job } }) => [job.jobId, job.steps[0]?.count ?? 1]));
    return {
        stops: cluster.costs.stops,
        lostCoreSeconds: Math.round(cluster.costs.lostCoreSeconds),
        urgentOnTime: urgent.filter(isOnTime).length,
        urgentJobs: urgent.length,
        otherOnTime: others.filter(isOnTime).length,
        otherJobs: others.length,
        unfinished: jobs.filter(({ view }) => cluster.records.get(view.job.jobId)?.endedAt === undefined).length,
        mostRuns: 1 + Math.max(0, ...stopsByTask.values()),
        mostStopsPerTask: Math.max(0, ...[...stopsByJob].map(([job, stops]) => stops / (countOf.get(job) ?? 1))),
    };
};
