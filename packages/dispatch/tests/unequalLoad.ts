import { timingsSchema } from "@persimmonpitch/workload/timings.js";
import type { JobView } from "../src/dispatchView.js";
import { FakeCluster, type FakeClusterOptions } from "../src/fakeCluster.js";
import { executorsOf, jobOf, type QUEUES, TEAMS } from "./dispatchFixture.js";

/** Work of one queue, as measured on installations with unequal executors and scaled to the size of the cluster. */
interface QueueLoad {
    readonly queue: keyof typeof QUEUES;
    readonly tasks: number;
    /** Accelerators of a task; each job draws one entry. */
    readonly accelerators: readonly number[];
    readonly gangShare: number;
    readonly runMs: readonly [number, number];
    readonly meanGapMs: number;
}

const LOADS: readonly QueueLoad[] = [
    {
        queue: "counter",
        tasks: 5,
        accelerators: [1, 1, 2, 4, 8],
        gangShare: 0.8,
        runMs: [3_000, 3_600],
        meanGapMs: 2_300,
    },
    {
        queue: "batch",
        tasks: 8,
        accelerators: [1, 1, 2, 4, 8],
        gangShare: 0.8,
        runMs: [13_000, 16_000],
        meanGapMs: 7_000,
    },
    { queue: "preview", tasks: 39, accelerators: [1], gangShare: 0, runMs: [11_000, 14_000], meanGapMs: 14_000 },
];

export const SIZE = 20;
export const ARRIVALS_MS = 120_000;
const DRAIN_MS = 60_000;

/** Every fifth executor is slow. */
export const isSlowExecutor = (index: number): boolean => index % 5 === 2;
export const SLOWDOWN = 2.4;

/** Tasks of one step differ by up to this share; a share of them takes much longer. */
const TASK_SPREAD = 0.15;
const LONG_SHARE = 0.03;
const LONG_FACTOR = 7;

interface Arrival {
    readonly view: JobView;
    readonly runMs: number;
}

/** A number from 0 to 1 that belongs to a text, such as the name of a task, whatever the order of the questions. */
const chanceOf = (seed: number, text: string): number => {
    let state = (2_166_136_261 ^ seed) >>> 0;
    for (const byte of Buffer.from(text)) {
        state = Math.imul(state ^ byte, 16_777_619) >>> 0;
    }
    state = Math.imul(state ^ (state >>> 15), 2_246_822_519) >>> 0;
    state = Math.imul(state ^ (state >>> 13), 3_266_489_917) >>> 0;
    return ((state ^ (state >>> 16)) >>> 0) / 2 ** 32;
};

const arrivalsOf = (
    { queue, tasks, accelerators, gangShare, runMs: [shortest, longest], meanGapMs }: QueueLoad,
    seed: number,
): readonly Arrival[] => {
    const found: Arrival[] = [];
    const draw = (what: string): number => chanceOf(seed, `${queue}${found.length} ${what}`);
    let at = -meanGapMs * Math.log(1 - draw("gap"));
    while (at < ARRIVALS_MS) {
        const runMs = shortest + draw("time") * (longest - shortest);
        const step = {
            count: tasks,
            isGang: draw("gang") < gangShare,
            declaredMs: Math.round(runMs * (0.7 + 0.6 * draw("declared"))),
            demand: { accelerators: accelerators[Math.floor(draw("size") * accelerators.length)] ?? 1 },
        };
        const team = draw("team") < 0.3 ? "weavers" : "potters";
        const id = `${queue}${found.length}`;
        found.push({ view: jobOf({ id, queue, team, acceptedAt: Math.round(at), steps: [step] }), runMs });
        at -= meanGapMs * Math.log(1 - draw("gap"));
    }
    return found;
};

/** Late jobs and jobs of each queue, lost work, changes of speed classes, and the cluster after the load. */
export interface LoadResult {
    readonly late: Readonly<Record<keyof typeof QUEUES, number>>;
    readonly jobs: Readonly<Record<keyof typeof QUEUES, number>>;
    readonly cluster: FakeCluster;
}

export const SLOW_FIFTH: NonNullable<FakeClusterOptions["rate"]> = executor =>
    isSlowExecutor(executor) ? 1 / SLOWDOWN : 1;

/** Replays the load on a cluster. A job counts as late by its run time on executors of normal speed, as callers count. */
export const replayLoad = (
    seed: number,
    learnsSpeeds: boolean,
    rate: NonNullable<FakeClusterOptions["rate"]> = SLOW_FIFTH,
): LoadResult => {
    const arrivals = LOADS.flatMap((load, index) => arrivalsOf(load, seed + index))
        .sort((left, right) => left.view.job.acceptedAt - right.view.job.acceptedAt);
    const runMs = new Map(arrivals.map(arrival => [arrival.view.job.jobId, arrival.runMs]));
    const cluster = new FakeCluster({
        ...{ executors: executorsOf(SIZE), teams: TEAMS, timings: timingsSchema.parse({}), rate, learnsSpeeds },
        trueMs: (jobId, _step, key) => {
            const chance = chanceOf(seed, `${jobId} ${key}`);
            const spread = 1 + TASK_SPREAD * (2 * chanceOf(seed + 1, `${jobId} ${key}`) - 1);
            return (runMs.get(jobId) ?? 0) * (chance < LONG_SHARE ? LONG_FACTOR : spread);
        },
        idlePassMs: 250,
    });
    const waiting = [...arrivals];
    cluster.runUntil(ARRIVALS_MS + DRAIN_MS, now => {
        while ((waiting[0]?.view.job.acceptedAt ?? Infinity) <= now) {
            waiting.splice(0, 1).forEach(({ view }) => {
                cluster.submit(view);
            });
        }
    });
    const late = { counter: 0, batch: 0, preview: 0 };
    const jobs = { counter: 0, batch: 0, preview: 0 };
    for (
        const { view: { job: { jobId, acceptedAt }, queue: { name, slackFactor, targetLatencyMs } }, runMs: ms }
            of arrivals
    ) {
        const queue = name as keyof typeof QUEUES;
        jobs[queue] += 1;
        const endedAt = cluster.records.get(jobId)?.endedAt ?? Infinity;
        late[queue] += Number(endedAt - acceptedAt > slackFactor * ms + targetLatencyMs);
    }
    return { late, jobs, cluster };
};
