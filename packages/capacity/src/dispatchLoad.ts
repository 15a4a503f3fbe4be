import { type Random, seededRandom } from "@persimmonpitch/bench/random.js";
import type { DispatchView, ExecutorView, JobView, RunView } from "@persimmonpitch/dispatch/dispatchView.js";
import { queueSchema } from "@persimmonpitch/workload/clusterConfig.js";
import { NO_TASK_PROGRESS, type TaskProgress } from "@persimmonpitch/workload/progress.js";
import { type Step, stepSchema } from "@persimmonpitch/workload/step.js";
import { stepJobSchema } from "@persimmonpitch/workload/stepJob.js";
import { taskKey } from "@persimmonpitch/workload/taskName.js";
import { timingsSchema } from "@persimmonpitch/workload/timings.js";
import { PLAN, TODAY } from "./planSizes.js";

/** What runs and what waits in a view. */
export type DispatchCase = "saturated" | "halfFree" | "allFree" | "nothingWaits" | "empty";

interface CaseShape {
    /** Share of the running jobs that are kept. */
    readonly keptShare: number;
    readonly hasWaiting: boolean;
}

export const DISPATCH_CASES: { readonly [K in DispatchCase]: CaseShape; } = {
    saturated: { keptShare: 1, hasWaiting: true },
    halfFree: { keptShare: 0.5, hasWaiting: true },
    allFree: { keptShare: 0, hasWaiting: true },
    nothingWaits: { keptShare: 1, hasWaiting: false },
    empty: { keptShare: 0, hasWaiting: false },
};

/** Waiting jobs at the size to design for, and today. */
const PLAN_WAITING = 1_000;
const TODAY_WAITING = 60;

const NOW = 10_000_000;
const EXECUTORS_PER_RACK = 3;
const LABEL_SHARE = 0.25;

/** With the other running tasks at two accelerators, this share fills 97% of the accelerators. */
const ONE_ACCELERATOR_SHARE = 0.4;
const CAPACITY = { milliCores: 32_000, memoryMb: 64_000, accelerators: 8 };

const COMMON = { host: "", pathPrefix: "", service: "desk", maxAttempts: 3 };
const QUEUES = [
    queueSchema.parse({ ...COMMON, name: "urgent", priority: 0, slackFactor: 1.5, targetLatencyMs: 300 }),
    queueSchema.parse({ ...COMMON, name: "batch", priority: 1, slackFactor: 3, targetLatencyMs: 1_000 }),
    queueSchema.parse({ ...COMMON, name: "preview", priority: 2, slackFactor: 5, targetLatencyMs: 2_000 }),
];
const QUEUES_BY_SHARE = [0, 0, 1, 1, 1, 1, 2, 2, 2, 2].flatMap(index => QUEUES[index] ?? []);
const GANGS = [1, 1, 1, 2, 2, 4, 4, 8, 16, 64] as const;
const ACCELERATORS = [1, 1, 1, 2, 2, 4, 8] as const;

/** What waits beside gangs: units of one step, some bound to a rack, a label or a number for each executor. */
const WAITING_TRAITS: readonly Partial<Step>[] = [
    {},
    {},
    { isGang: true },
    { isGang: true },
    { isGang: true, isTight: true },
    { hasCheckpoints: true },
    { dataRack: "rack1" },
    { requiredLabel: "dye" },
    { maxPerExecutor: 2 },
    { usesIdleCores: true },
];

/** Number of waiting jobs for a number of executors: in the plan's proportion, and at least those of today. */
export const waitingJobs = (executors: number): number =>
    Math.max(TODAY_WAITING, Math.round(executors * PLAN_WAITING / PLAN.workers));

interface JobInput {
    readonly jobId: string;
    readonly team: string;
    readonly ageMs: number;
    readonly steps: readonly Partial<Step>[];
    readonly tasks: Readonly<Record<string, TaskProgress>>;
}

const jobView = ({ jobId, team, ageMs, steps, tasks }: JobInput, random: Random): JobView => {
    const queue = random.pick(QUEUES_BY_SHARE);
    const job = stepJobSchema.parse({
        jobId,
        team,
        queue: queue.name,
        acceptedAt: NOW - ageMs,
        payload: "",
        steps: steps.map(step => stepSchema.parse(step)),
    });
    return { job, queue, progress: { outcome: "open", tasks } };
};

const teamName = (index: number): string => `team-${index}`;

const teamCount = (executors: number): number =>
    Math.max(TODAY.teams, Math.round(executors * PLAN.teams / PLAN.workers));

const waitingJob = (index: number, executors: number, random: Random): JobView => {
    const accelerators = random.pick(ACCELERATORS);
    const demand = {
        accelerators,
        milliCores: 500 * (1 + Math.floor(random.uniform() * 4 * accelerators)),
        memoryMb: 512 * (1 + Math.floor(random.uniform() * 8 * accelerators)),
    };
    const traits = random.pick(WAITING_TRAITS);
    const count = Math.min(executors, traits.isTight === true ? EXECUTORS_PER_RACK : random.pick(GANGS));
    const declaredMs = 2_000 + Math.floor(random.uniform() * 60_000);
    const input = {
        jobId: `waiting-${index}`,
        team: teamName(Math.floor(random.uniform() * teamCount(executors))),
        ageMs: Math.floor(random.uniform() * 60_000),
        steps: [{ count, demand, declaredMs, ...traits }, { count: 2, demand, declaredMs, after: [0] }],
        tasks: {},
    };
    return jobView(input, random);
};

/** A run that is between 5% and 95% done, at a rate near the one that was declared. */
const runOf = (
    jobId: string,
    key: string,
    { declaredMs, demand }: Pick<Step, "declaredMs" | "demand">,
    percent: number,
    random: Random,
): RunView => {
    const elapsedMs = declaredMs * percent / 100 * (0.8 + 0.4 * random.uniform());
    return {
        ...{ jobId, key, run: 1, demand, percent, isStopping: false, firstPercent: 0 },
        orderedAt: NOW - elapsedMs - 50,
        progressAt: NOW - Math.floor(random.uniform() * 400),
        firstListedAt: NOW - elapsedMs,
    };
};

const demandOfRunning = (accelerators: number) => ({
    accelerators,
    milliCores: 3_000 * accelerators,
    memoryMb: 6_000 * accelerators,
});

/** Executors for tasks of so many accelerators, from `next` on; fewer than `count` if there is no more room. */
const takePlaces = (free: number[], next: number, count: number, accelerators: number): readonly number[] => {
    const places: number[] = [];
    for (let offset = 0; offset < free.length && places.length < count; offset += 1) {
        const executor = (next + offset) % free.length;
        const left = free[executor] ?? 0;
        if (left >= accelerators) {
            free[executor] = left - accelerators;
            places.push(executor);
        }
    }
    return places;
};

/** Jobs that run: gangs of up to 64 and single tasks, 4.84 tasks on an executor. */
const runningJobs = (runs: readonly RunView[][], keptShare: number, random: Random): readonly JobView[] => {
    const executors = runs.length;
    const limit = Math.round(executors * PLAN.runningTasks / PLAN.workers);
    const free = runs.map(() => CAPACITY.accelerators);
    const jobs: JobView[] = [];
    let next = 0;
    for (let tasks = 0, index = 0; tasks < limit && free.some(left => left > 0); index += 1) {
        const jobId = `running-${index}`;
        const declaredMs = 20_000 + Math.floor(random.uniform() * 60_000);
        const percent = 5 + Math.floor(random.uniform() * 90);
        const isKept = random.chance(keptShare);
        const wanted = Math.min(random.pick(GANGS), limit - tasks);
        const accelerators = random.chance(ONE_ACCELERATOR_SHARE) ? 1 : 2;
        const places = takePlaces(free, next, wanted, accelerators);
        const demand = demandOfRunning(accelerators);
        const placed: Record<string, TaskProgress> = {};
        places.forEach((executor, task) => {
            const key = taskKey({ occurrence: 0, step: 0, index: task });
            const placement = { vm: `vm-${executor}`, executorId: `executor-${executor}`, born: 1 };
            placed[key] = { ...NO_TASK_PROGRESS, run: 1, placement };
            if (isKept) {
                runs[executor]?.push(runOf(jobId, key, { declaredMs, demand }, percent, random));
            }
        });
        next = (places.at(-1) ?? next) + 1;
        tasks += places.length;
        const step = { count: places.length, declaredMs, demand, isGang: places.length > 1 };
        const team = teamName(Math.floor(random.uniform() * teamCount(executors)));
        if (isKept && places.length > 0) {
            jobs.push(jobView({ jobId, team, ageMs: declaredMs, steps: [step], tasks: placed }, random));
        }
    }
    return jobs;
};

const executorView = (index: number, runs: readonly RunView[], random: Random): ExecutorView => ({
    vm: `vm-${index}`,
    executorId: `executor-${index}`,
    service: COMMON.service,
    rack: `rack${Math.floor(index / EXECUTORS_PER_RACK)}`,
    labels: random.chance(LABEL_SHARE) ? ["dye"] : [],
    capacity: CAPACITY,
    takesWork: true,
    leavesInMs: undefined,
    runs,
    listedAt: NOW,
    recentEnds: [],
});

/** A view of so many executors with running and waiting jobs in the proportions of the plan. */
export const makeDispatchView = (executors: number, dispatchCase: DispatchCase, seed: number): DispatchView => {
    const random = seededRandom(seed);
    const { keptShare, hasWaiting } = DISPATCH_CASES[dispatchCase];
    const runs = Array.from({ length: executors }, (): RunView[] => []);
    const running = runningJobs(runs, keptShare, random);
    const waiting = Array.from(
        { length: hasWaiting ? waitingJobs(executors) : 0 },
        (_, index) => waitingJob(index, executors, random),
    );
    return {
        now: NOW,
        wallTime: NOW,
        timings: timingsSchema.parse({}),
        teams: Array.from({ length: teamCount(executors) }, (_, index) => ({
            name: teamName(index),
            apiKeys: [],
            guaranteedAccelerators: index % 4 === 0 ? 8 : 0,
        })),
        jobs: [...running, ...waiting],
        executors: runs.map((some, index) => executorView(index, some, random)),
        samples: Array.from({ length: 300 }, () => {
            const declaredMs = 2_000 + Math.floor(random.uniform() * 60_000);
            return { queue: random.pick(QUEUES).name, declaredMs, actualMs: declaredMs * (0.5 + random.uniform()) };
        }),
    };
};
