import { type Queue, queueSchema, type Team, teamSchema } from "@persimmonpitch/workload/clusterConfig.js";
import type { TaskProgress } from "@persimmonpitch/workload/progress.js";
import { NO_TASK_PROGRESS } from "@persimmonpitch/workload/progress.js";
import { type Step, stepSchema } from "@persimmonpitch/workload/step.js";
import { type StepJob, stepJobSchema } from "@persimmonpitch/workload/stepJob.js";
import { timingsSchema } from "@persimmonpitch/workload/timings.js";
import type { DispatchDecision, DispatchView, ExecutorView, JobView, RunView } from "../src/dispatchView.js";

export const START = 1_000_000;

const COMMON = { host: "", pathPrefix: "", service: "desk", maxAttempts: 3 };

const queueOf = (name: string, priority: number, slackFactor: number, targetLatencyMs: number): Queue =>
    queueSchema.parse({ ...COMMON, name, priority, slackFactor, targetLatencyMs });

export const QUEUES = {
    counter: queueOf("counter", 0, 1.5, 300),
    batch: queueOf("batch", 1, 3, 1_000),
    preview: queueOf("preview", 2, 5, 2_000),
};

export const TEAMS: readonly Team[] = [
    teamSchema.parse({ name: "weavers", guaranteedAccelerators: 24 }),
    teamSchema.parse({ name: "dyers", guaranteedAccelerators: 8 }),
    teamSchema.parse({ name: "potters" }),
];

export type StepInput = Partial<Omit<Step, "demand">> & { readonly demand?: Partial<Step["demand"]>; };

export interface JobInput {
    readonly id: string;
    readonly queue?: keyof typeof QUEUES;
    readonly team?: string;
    readonly acceptedAt?: number;
    readonly steps: readonly StepInput[];
    readonly repetition?: StepJob["repetition"];
    readonly tasks?: Readonly<Record<string, Partial<TaskProgress>>>;
}

export const stepOf = (input: StepInput): Step =>
    stepSchema.parse({ count: 1, declaredMs: 5_000, ...input, demand: { accelerators: 1, ...input.demand } });

export const jobOf = (
    { id, queue = "batch", team = "potters", acceptedAt = START, steps, repetition, tasks = {} }: JobInput,
): JobView => ({
    job: stepJobSchema.parse({ jobId: id, queue, team, acceptedAt, payload: "", steps: steps.map(stepOf), repetition }),
    progress: {
        outcome: "open",
        tasks: Object.fromEntries(
            Object.entries(tasks).map(([key, task]) => [key, { ...NO_TASK_PROGRESS, ...task }]),
        ),
    },
    queue: QUEUES[queue],
});

/** Executors with 8 accelerators each, three in each rack. */
export const executorsOf = (
    count: number,
    change: (index: number) => Partial<ExecutorView> = () => ({}),
): readonly ExecutorView[] =>
    Array.from({ length: count }, (_, index) => ({
        vm: `vm${index}`,
        executorId: `executor${index}`,
        service: "desk",
        rack: `rack${Math.floor(index / 3)}`,
        capacity: { accelerators: 8, milliCores: 32_000, memoryMb: 64_000 },
        ...{ labels: [], takesWork: true, leavesInMs: undefined, runs: [], listedAt: START, recentEnds: [] },
        ...change(index),
    }));

/** A run that has worked for `elapsedMs` and is `percent` done. */
export const runOf = (
    jobId: string,
    key: string,
    elapsedMs = 1_000,
    percent = 20,
    change: Partial<RunView> = {},
): RunView => ({
    jobId,
    key,
    run: 1,
    demand: { accelerators: 1, milliCores: 0, memoryMb: 0 },
    orderedAt: START - elapsedMs,
    isStopping: false,
    percent,
    progressAt: START,
    firstPercent: 0,
    firstListedAt: START - elapsedMs,
    ...change,
});

/** Progress of tasks that are placed on an executor. */
export const placedOn = (executor: number, ...keys: readonly string[]): Record<string, Partial<TaskProgress>> =>
    Object.fromEntries(
        keys.map(
            key => [key, { run: 1, placement: { vm: `vm${executor}`, executorId: `executor${executor}`, born: 0 } }],
        ),
    );

export const viewOf = (
    jobs: readonly JobView[],
    executors: readonly ExecutorView[],
    change: Partial<DispatchView> = {},
): DispatchView => ({
    now: START,
    wallTime: START,
    timings: timingsSchema.parse({}),
    teams: TEAMS,
    samples: [],
    jobs,
    executors,
    ...change,
});

/** Formats one line for each decision. */
export const linesOf = (decisions: readonly DispatchDecision[]): readonly string[] =>
    decisions.map(decision =>
        decision.kind === "stop"
            ? `stop ${decision.jobId}.${decision.key} run ${decision.run}: ${decision.reason}`
            : `start ${decision.jobId} run ${decision.run}: ${
                decision.tasks.map(({ key, vm }) => `${key} on ${vm}`).join(", ")
            }`
    );
