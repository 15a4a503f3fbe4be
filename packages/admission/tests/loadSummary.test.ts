import type { ExecutorView, JobView, RunView } from "@persimmonpitch/dispatch/dispatchView.js";
import { formatSnapshot } from "@persimmonpitch/snapshots/formatSnapshot.js";
import { queueSchema, teamSchema } from "@persimmonpitch/workload/clusterConfig.js";
import { NO_TASK_PROGRESS } from "@persimmonpitch/workload/progress.js";
import { stepSchema } from "@persimmonpitch/workload/step.js";
import { stepJobSchema } from "@persimmonpitch/workload/stepJob.js";
import { timingsSchema } from "@persimmonpitch/workload/timings.js";
import t from "tap";
import { isMaterialChange } from "../src/loadChange.js";
import type { LoadRow } from "../src/loadRow.js";
import { summarizeLoad } from "../src/loadSummary.js";

t.formatSnapshot = formatSnapshot;

const NOW = 1_000_000;

const queueOf = (priority: number) =>
    queueSchema.parse({
        ...{ name: `q${priority}`, host: "", pathPrefix: "", service: "desk", priority },
        ...{ slackFactor: 2, targetLatencyMs: 1_000 },
    });

interface JobInput {
    readonly id: string;
    readonly priority: number;
    readonly count: number;
    readonly accelerators: number;
    readonly ageMs?: number;
    readonly team?: string;
    /** Number of tasks that run on the first executor. */
    readonly running?: number;
}

const jobOf = (
    { id, priority, count, accelerators, ageMs = 0, team = "potters", running = 0 }: JobInput,
): JobView => {
    const step = stepSchema.parse({ count, declaredMs: 4_000, demand: { accelerators } });
    const placement = { vm: "vm0", executorId: "e0", born: 0 };
    const tasks = Array.from(
        { length: running },
        (_, index) => [`0.0.${index}`, { ...NO_TASK_PROGRESS, run: 1, placement }] as const,
    );
    return {
        job: stepJobSchema.parse({
            ...{ jobId: id, queue: `q${priority}`, team, acceptedAt: NOW - ageMs, payload: "", steps: [step] },
        }),
        queue: queueOf(priority),
        progress: { outcome: "open", tasks: Object.fromEntries(tasks) },
    };
};

const runOf = (jobId: string, index: number, accelerators: number): RunView => ({
    ...{ jobId, key: `0.0.${index}`, run: 1, demand: { accelerators, milliCores: 0, memoryMb: 0 } },
    ...{ orderedAt: NOW, isStopping: false, percent: 0, progressAt: NOW, firstPercent: 0, firstListedAt: NOW },
});

const executorOf = (index: number, change: Partial<ExecutorView> = {}): ExecutorView => ({
    ...{ vm: `vm${index}`, executorId: `e${index}`, service: "desk", rack: undefined, labels: [] },
    capacity: { accelerators: 8, milliCores: 64_000, memoryMb: 64_000 },
    ...{ takesWork: true, leavesInMs: undefined, runs: [], listedAt: NOW, recentEnds: [] },
    ...change,
});

const summaryOf = (jobs: readonly JobView[], executors: readonly ExecutorView[]): LoadRow =>
    summarizeLoad({
        ...{ now: NOW, wallTime: NOW, timings: timingsSchema.parse({}), samples: [], jobs, executors },
        teams: [teamSchema.parse({ name: "weavers", guaranteedAccelerators: 8 })],
    }, 3);

const CASES: Readonly<Record<string, readonly [readonly JobView[], readonly ExecutorView[]]>> = {
    "nothing runs or waits": [[], [executorOf(0), executorOf(1)]],
    "one task runs and two wait": [
        [jobOf({ id: "a", priority: 1, count: 3, accelerators: 2, running: 1 })],
        [executorOf(0, { runs: [runOf("a", 0, 2)] })],
    ],
    "a guaranteed job and an ordinary one of the same priority": [
        [
            jobOf({ id: "a", priority: 0, count: 1, accelerators: 8, team: "weavers" }),
            jobOf({ id: "b", priority: 0, count: 1, accelerators: 8 }),
        ],
        [executorOf(0)],
    ],
    "a job that is late, and one that earns nothing any more": [
        [
            jobOf({ id: "a", priority: 1, count: 1, accelerators: 4, ageMs: 15_000 }),
            jobOf({ id: "b", priority: 1, count: 1, accelerators: 4, ageMs: 60_000 }),
        ],
        [executorOf(0)],
    ],
    "a job that no executor can run": [
        [jobOf({ id: "a", priority: 1, count: 1, accelerators: 16 })],
        [executorOf(0)],
    ],
    "an executor that leaves with a run, and one that is unreachable": [
        [jobOf({ id: "a", priority: 9, count: 1, accelerators: 2, running: 1 })],
        [
            executorOf(0, { takesWork: false, leavesInMs: 1_000, runs: [runOf("a", 0, 2)] }),
            executorOf(1, { takesWork: false }),
        ],
    ],
};

// Guards against a row from which entries expect more or less room than there is.
void t.test("the load counts accelerators, work and guarantees by service and priority", t => {
    for (const [name, [jobs, executors]] of Object.entries(CASES)) {
        t.matchSnapshot(summaryOf(jobs, executors), name);
    }
    t.end();
});

// Guards against writes without news, and against a change that no entry hears of.
void t.test("a change by more than a tenth is material", t => {
    const withFree = (freeAccelerators: number, epoch = 1): LoadRow => ({
        epoch,
        at: NOW + freeAccelerators,
        services: [{ name: "desk", totalAccelerators: 100, freeAccelerators, largestExecutor: 8, priorities: [] }],
    });
    const published = withFree(50);
    const changes = { same: 50, less: 46, muchLess: 44, more: 55, muchMore: 56, none: 0 };
    t.matchSnapshot({
        first: isMaterialChange(undefined, published),
        ...Object.fromEntries(
            Object.entries(changes).map(([name, free]) => [name, isMaterialChange(published, withFree(free))]),
        ),
        newEpoch: isMaterialChange(published, withFree(50, 2)),
        serviceGone: isMaterialChange(published, { ...published, services: [] }),
        serviceNew: isMaterialChange({ ...published, services: [] }, published),
    });
    t.end();
});
