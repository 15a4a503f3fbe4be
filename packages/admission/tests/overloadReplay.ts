import { criticalPathMs } from "@persimmonpitch/dispatch/criticalPath.js";
import type { DispatchOptions } from "@persimmonpitch/dispatch/dispatchOptions.js";
import type { JobView } from "@persimmonpitch/dispatch/dispatchView.js";
import { FakeCluster } from "@persimmonpitch/dispatch/fakeCluster.js";
import { queueSchema, teamSchema } from "@persimmonpitch/workload/clusterConfig.js";
import type { Step } from "@persimmonpitch/workload/step.js";
import { stepSchema } from "@persimmonpitch/workload/step.js";
import { stepJobSchema } from "@persimmonpitch/workload/stepJob.js";
import { stepKeys } from "@persimmonpitch/workload/stepKeys.js";
import { timingsSchema } from "@persimmonpitch/workload/timings.js";
import type { RecentAcceptance, RefuseReason } from "../src/admissionDecision.js";
import { decideAdmission } from "../src/admissionDecision.js";
import { isWithinGuarantee } from "../src/guaranteeCheck.js";
import { jobWorkOf } from "../src/jobWork.js";
import { isMaterialChange } from "../src/loadChange.js";
import type { LoadRow } from "../src/loadRow.js";
import { summarizeLoad } from "../src/loadSummary.js";
import { RefusalQuota } from "../src/refusalQuota.js";

const SERVICE = "desk";
/** A sixth of the executors of an installation, with a sixth of its load. */
const EXECUTORS = 12;
const ACCELERATORS_PER_EXECUTOR = 8;
const ENTRIES = 13;
const ROW_INTERVAL_MS = 1_000;
const TICK_MS = 50;
const LATE_FACTOR = 3;
/** After this time no job of the replay earns anything any more. */
const MAX_RUN_OUT_MS = 900_000;
const RUN_OUT_STEP_MS = 5_000;

const queueOf = (name: string, priority: number, slackFactor: number, targetLatencyMs: number) =>
    queueSchema.parse({ name, host: "", pathPrefix: "", service: SERVICE, priority, slackFactor, targetLatencyMs });

/** The measured load of docs/overload.md, for a sixth of an installation. */
const KINDS = [
    { ...{ queue: queueOf("p0", 0, 1.5, 300), count: 5, isGangShare: 0.8, everyMs: 6_000 }, runMs: [3_000, 3_600] },
    { ...{ queue: queueOf("p1", 1, 3, 1_000), count: 8, isGangShare: 0.8, everyMs: 18_000 }, runMs: [13_000, 16_000] },
    { ...{ queue: queueOf("p2", 2, 5, 3_000), count: 39, isGangShare: 0, everyMs: 36_000 }, runMs: [11_000, 14_000] },
] as const;

const ON_TIME_VALUE = [4, 3, 1];
const LATE_VALUE = [0.8, 0.9, 0.3];
const TASK_ACCELERATORS = [1, 2, 4, 8];
const STRAGGLER_SHARE = 0.03;
const STRAGGLER_FACTOR = 7;

/** Uniform numbers in [0, 1) that depend on the seed only (mulberry32). */
export const seededRandom = (seed: number): () => number => {
    let state = seed;
    return () => {
        state = state + 0x6D2B79F5 | 0;
        let mixed = Math.imul(state ^ state >>> 15, 1 | state);
        mixed = mixed + Math.imul(mixed ^ mixed >>> 7, 61 | mixed) ^ mixed;
        return ((mixed ^ mixed >>> 14) >>> 0) / 2 ** 32;
    };
};

interface Arrival {
    readonly at: number;
    readonly view: JobView;
    readonly runMs: number;
}

/** Jobs of all queues with exponential times between them. `load` multiplies their number. */
const arrivalsOf = (seed: number, load: number, untilMs: number): readonly Arrival[] => {
    const random = seededRandom(seed);
    const arrivals = KINDS.flatMap(({ queue, count, isGangShare, everyMs, runMs: [shortest, longest] }) => {
        const ofKind: Arrival[] = [];
        const gapMs = () => -Math.log(1 - random()) * everyMs / load;
        for (let at = gapMs(); at < untilMs; at += gapMs()) {
            const runMs = shortest + random() * (longest - shortest);
            const isGang = random() < isGangShare;
            const accelerators = queue.priority === 2
                ? 1
                : TASK_ACCELERATORS[Math.floor(random() * TASK_ACCELERATORS.length)] ?? 1;
            const step = stepSchema.parse({
                count,
                isGang,
                demand: { accelerators },
                // Declared times are wrong by a factor of up to two.
                declaredMs: Math.round(runMs * 2 ** (2 * random() - 1)),
            });
            const steps = queue.priority === 2 && random() < 0.3 ? [step, { ...step, after: [0] }] : [step];
            const jobId = `${queue.name}-${ofKind.length}`;
            const team = `team${Math.floor(random() * 10)}`;
            const acceptedAt = Math.ceil(at / TICK_MS) * TICK_MS;
            const job = stepJobSchema.parse({ jobId, queue: queue.name, team, acceptedAt, payload: "", steps });
            ofKind.push({
                at: acceptedAt,
                runMs,
                view: { job, queue, progress: { outcome: "open", tasks: {} } },
            });
        }
        return ofKind;
    });
    return arrivals.sort((left, right) => left.at - right.at);
};

export interface ReplayOptions {
    readonly seed: number;
    /** Factor of the measured arrival rates. */
    readonly load: number;
    readonly durationMs: number;
    /** Reasons for which jobs are refused; none without admission. */
    readonly refusedFor: readonly RefuseReason[];
    /** Times that a refused requester tries again. */
    readonly retries: number;
    readonly dispatch?: Partial<DispatchOptions>;
}

export interface ReplayResult {
    /** Value earned as a share of the value of all submitted jobs on time. */
    readonly earned: number;
    /** Share of the jobs of each priority that ended on time, ended late but earned, earned nothing, were refused. */
    readonly byPriority: readonly (readonly [number, number, number, number])[];
    readonly refusals: number;
    /** Number of decisions by priority and reason. */
    readonly reasons: Readonly<Record<string, number>>;
    readonly rows: number;
    readonly lostCoreSeconds: number;
}

/** Replays the measured load on a fake cluster, with or without admission. */
export const replay = ({ seed, load, durationMs, refusedFor, retries, dispatch }: ReplayOptions): ReplayResult => {
    const teams = Array.from(
        { length: 10 },
        (_, index) => teamSchema.parse({ name: `team${index}`, guaranteedAccelerators: 8 }),
    );
    const arrivals = arrivalsOf(seed, load, durationMs);
    const trueMsOf = new Map(arrivals.map(({ view, runMs }) => [view.job.jobId, runMs]));
    const taskRandom = seededRandom(seed + 1);
    const factors = new Map(
        arrivals.flatMap(({ view: { job } }) =>
            job.steps.flatMap((step, index) =>
                stepKeys(step, 0, index).map(key => {
                    const isStraggler = taskRandom() < STRAGGLER_SHARE;
                    const factor = isStraggler ? STRAGGLER_FACTOR : 0.925 + 0.15 * taskRandom();
                    return [`${job.jobId} ${key}`, factor] as const;
                })
            )
        ),
    );
    const factorOf = (jobId: string, key: string): number => factors.get(`${jobId} ${key}`) ?? 1;
    /** A gang has the run time of its first task. */
    const stepFactor = (jobId: string, step: Step, index: number): number => {
        const keys = stepKeys(step, 0, index).slice(0, step.isGang ? 1 : undefined);
        return Math.max(...keys.map(key => factorOf(jobId, key)));
    };
    const cluster = new FakeCluster({
        executors: Array.from({ length: EXECUTORS }, (_, index) => ({
            ...{ vm: `vm${index}`, executorId: `executor${index}`, service: SERVICE, rack: `rack${index % 6}` },
            capacity: { accelerators: ACCELERATORS_PER_EXECUTOR, milliCores: 128_000, memoryMb: 512_000 },
            ...{ labels: [], takesWork: true, leavesInMs: undefined, runs: [], listedAt: 0, recentEnds: [] },
        })),
        teams,
        timings: timingsSchema.parse({}),
        trueMs: (jobId, _step, key) => (trueMsOf.get(jobId) ?? 0) * factorOf(jobId, key),
        ...(dispatch === undefined ? {} : { dispatch }),
        idlePassMs: 250,
    });
    const quota = new RefusalQuota();
    const accepted: RecentAcceptance[] = [];
    const views = new Map<string, JobView>();
    let published: LoadRow | undefined;
    let rows = 0;
    let refusals = 0;
    const reasons = new Map<string, number>();
    const pending = arrivals.map(arrival => ({ at: arrival.at, view: arrival.view, triesLeft: retries }));
    const submit = (one: (typeof pending)[number], now: number): void => {
        const job = { ...one.view.job, acceptedAt: now };
        const view = { ...one.view, job };
        const decision = decideAdmission({
            now,
            forecast: published,
            entries: ENTRIES,
            queue: view.queue,
            submission: job,
            accepted,
            isWithinGuarantee: () => {
                const openJobs = cluster.view().jobs.filter(open => open.job.team === job.team);
                return view.queue.priority === 0 && isWithinGuarantee(teams, openJobs, view, now);
            },
        });
        const reason = `${view.queue.name} ${decision.reason}`;
        reasons.set(reason, (reasons.get(reason) ?? 0) + 1);
        const isUnwanted = decision.kind === "refuse" && refusedFor.includes(decision.reason);
        if (quota.record(view.queue.name, isUnwanted, now)) {
            refusals += 1;
            if (one.triesLeft > 0) {
                pending.push({ at: now + 5_000, view: one.view, triesLeft: one.triesLeft - 1 });
            }
            return;
        }
        const { accelerators, acceleratorSeconds } = jobWorkOf(job, 0);
        accepted.push({ service: SERVICE, priority: view.queue.priority, accelerators, acceleratorSeconds, at: now });
        accepted.splice(0, accepted.length - 200);
        views.set(job.jobId, view);
        cluster.submit(view);
    };
    const onTick = (now: number): void => {
        if (refusedFor.length > 0 && now % ROW_INTERVAL_MS === 0) {
            const current = summarizeLoad(cluster.view(), 1);
            if (isMaterialChange(published, current)) {
                published = current;
                rows += 1;
            }
        }
        for (const one of pending.filter(({ at }) => at === now)) {
            submit(one, now);
        }
    };
    const isOpen = (): boolean => cluster.view().jobs.length > 0;
    cluster.runUntil(durationMs, onTick);
    while (isOpen() && cluster.now < durationMs + MAX_RUN_OUT_MS) {
        cluster.runUntil(cluster.now + RUN_OUT_STEP_MS, onTick);
    }
    const counts = KINDS.map(() => [0, 0, 0, 0] as [number, number, number, number]);
    let earned = 0;
    let worth = 0;
    for (const { view: { job, queue }, runMs } of arrivals) {
        const { priority, slackFactor, targetLatencyMs } = queue;
        const stored = views.get(job.jobId);
        // As for callers, the objective counts from the first submission.
        const takenMs = (cluster.records.get(job.jobId)?.endedAt ?? Infinity) - job.acceptedAt;
        const pathMs = criticalPathMs(job, index => {
            const step = job.steps[index];
            return step === undefined ? 0 : runMs * stepFactor(job.jobId, step, index);
        });
        const allowedMs = slackFactor * pathMs + targetLatencyMs;
        const outcome = stored === undefined
            ? 3
            : takenMs <= allowedMs
            ? 0
            : takenMs <= LATE_FACTOR * allowedMs
            ? 1
            : 2;
        const values = [ON_TIME_VALUE[priority] ?? 0, LATE_VALUE[priority] ?? 0, 0, 0] as const;
        earned += values[outcome];
        worth += values[0];
        const ofPriority = counts[priority];
        if (ofPriority !== undefined) {
            ofPriority[outcome] += 1;
        }
    }
    const share = (count: number, of: readonly number[]): number =>
        Math.round(100 * count / Math.max(1, of.reduce((sum, one) => sum + one, 0))) / 100;
    return {
        earned: Math.round(1_000 * earned / worth) / 1_000,
        byPriority: counts.map(all =>
            all.map(count => share(count, all)) as unknown as [number, number, number, number]
        ),
        refusals,
        reasons: Object.fromEntries([...reasons].sort(([left], [right]) => left < right ? -1 : 1)),
        rows,
        lostCoreSeconds: Math.round(cluster.costs.lostCoreSeconds),
    };
};
