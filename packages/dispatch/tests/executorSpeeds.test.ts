import { timingsSchema } from "@persimmonpitch/workload/timings.js";
import fc from "fast-check";
import t from "tap";
import type { RunSample } from "../src/dispatchView.js";
import { atNormalSpeed, ExecutorSpeeds, slowestOf } from "../src/executorSpeeds.js";
import { FakeCluster } from "../src/fakeCluster.js";
import { learnSlowness } from "../src/learnSlowness.js";
import { sampledRunOf } from "../src/sampledRun.js";
import { executorsOf, jobOf, placedOn, runOf, START, stepOf, TEAMS, viewOf } from "./dispatchFixture.js";
import { buildView, viewInput } from "./generatedView.js";
import { ARRIVALS_MS, isSlowExecutor, replayLoad, SIZE, SLOW_FIFTH } from "./unequalLoad.js";

const SEEDS = [1, 2, 3, 4] as const;

const slowVms = Array.from({ length: SIZE }, (_, index) => index).filter(isSlowExecutor).map(index => `vm${index}`);

const changedVms = (speedLog: readonly string[]): readonly string[] =>
    [...new Set(speedLog.map(line => line.split(" ")[1] ?? ""))].sort();

// Guards against urgent work that is late because a member of its gang is on a slow executor, against slow executors that
// are not found, and against sound ones that count as slow.
void t.test("with a fifth of the executors slow, fewer urgent jobs are late once speeds are learned", t => {
    const rows = SEEDS.map(seed => {
        const before = replayLoad(seed, false);
        const after = replayLoad(seed, true);
        t.ok(after.late.counter < before.late.counter, `seed ${seed}: fewer late jobs of priority 0`);
        t.strictSame(changedVms(after.cluster.speedLog), [...slowVms].sort(), `seed ${seed}: the slow executors`);
        const { late: { counter, batch, preview } } = after;
        return `seed ${seed}: ${before.jobs.counter} ${before.jobs.batch} ${before.jobs.preview} jobs, late before ${before.late.counter} ${before.late.batch} ${before.late.preview}, after ${counter} ${batch} ${preview}`;
    });
    t.matchSnapshot(rows.join("\n"), "jobs and late jobs by priority");
    t.end();
});

// Guards against clusters of equal executors that are served differently. The load contains tasks that take 7 times as
// long as their siblings.
void t.test("on equal executors, nothing changes and no executor counts as slow", t => {
    const before = replayLoad(1, false, () => 1);
    const after = replayLoad(1, true, () => 1);
    t.strictSame(after.cluster.speedLog, [], "no classes");
    t.strictSame(after.cluster.costs, before.cluster.costs, "starts, stops and lost work");
    t.strictSame([...after.cluster.records], [...before.cluster.records], "times of all jobs");
    t.end();
});

// Guards against an executor that is avoided for long after a short slow spell.
void t.test("an executor that is slow for some seconds does not change its class", t => {
    const spell = replayLoad(2, true, (executor, now) => executor < 4 && now >= 50_000 && now < 55_000 ? 0.2 : 1);
    t.strictSame(spell.cluster.speedLog, []);
    t.end();
});

// Guards against an executor that counts as slow for good once it did.
void t.test("an executor that recovers counts as normal again", t => {
    const recoversAt = ARRIVALS_MS / 2;
    const { cluster } = replayLoad(2, true, (executor, now) => now < recoversAt ? SLOW_FIFTH(executor, now) : 1);
    const last = new Map(cluster.speedLog.map(line => line.split(" ")).map(([, vm, , , after]) => [vm, after]));
    t.ok(last.size > 0, "executors counted as slow");
    t.strictSame([...new Set(last.values())], ["1"], "all are normal at last");
    t.end();
});

const COUNT = 6;
const SLOW_VM = "vm5";

/** Steps of 12 tasks, two on each executor, of which the runs on the last executor progress slower than the others. */
const viewWithSlow = (
    slowness: number,
    declaredMs: (job: number) => number,
    change: { readonly born?: number; } = {},
) => {
    const ids = ["a", "b", "c"];
    const jobs = ids.map((id, job) =>
        jobOf({
            ...{ id, acceptedAt: START - 4_000, steps: [{ count: 12, declaredMs: declaredMs(job) }] },
            tasks: Object.assign(
                {},
                ...Array.from({ length: 12 }, (_, index) => placedOn(index % COUNT, `0.0.${index}`)),
            ) as ReturnType<typeof placedOn>,
        })
    );
    const executors = executorsOf(COUNT, index => ({
        ...change,
        runs: ids.flatMap((id, job) =>
            [index, index + COUNT].map(task =>
                runOf(id, `0.0.${task}`, 4_000, (40 - 5 * job) / (index === COUNT - 1 ? slowness : 1))
            )
        ),
    }));
    return viewOf(jobs, executors);
};

const learned = (speeds: ExecutorSpeeds): Readonly<Record<string, number>> => Object.fromEntries(speeds.slowness);

// Guards against estimates of run times that are taken for speeds: declared times wrong by a factor of 20 must neither
// make sound executors slow nor hide a slow one.
void t.test("a slow executor is told from wrong declared times by the siblings of its runs", t => {
    const wrong = (job: number): number => [500, 10_000, 200][job] ?? 0;
    const onlyWrong = new ExecutorSpeeds();
    onlyWrong.update(viewWithSlow(1, wrong), START);
    t.strictSame(learned(onlyWrong), {});
    const slow = new ExecutorSpeeds();
    t.match(slow.update(viewWithSlow(2.5, wrong), START), [{ vm: SLOW_VM, before: 1 }]);
    t.strictSame(Object.keys(learned(slow)), [SLOW_VM]);
    t.end();
});

// Guards against a single long task, or a step of long tasks, that makes its executor slow.
void t.test("one step with long tasks on an executor does not make it slow", t => {
    const view = viewWithSlow(1, () => 10_000);
    const executors = view.executors.map(executor =>
        executor.vm === SLOW_VM
            ? { ...executor, runs: executor.runs.map(run => run.jobId === "a" ? { ...run, percent: 6 } : run) }
            : executor
    );
    const speeds = new ExecutorSpeeds();
    t.strictSame(speeds.update({ ...view, executors }, START), []);
    t.end();
});

const endedOn = (vm: string, actualMs: number, number: number, born: number, endedAt = START): RunSample => {
    const step = stepOf({ count: 9, declaredMs: 10_000 });
    const jobId = `ended${Math.floor(number / COUNT) % 3}`;
    const places = [{ vm, born }];
    const run = sampledRunOf({ jobId, key: `0.0.${number}`, run: 1, places, step, workMs: actualMs, endedAt });
    return { queue: "batch", declaredMs: 10_000, actualMs, run };
};

/** Knows a slow executor from ended runs of its first incarnation. */
const speedsFromEnds = (): ExecutorSpeeds => {
    const speeds = new ExecutorSpeeds();
    for (let number = 0; number < 9; number += 1) {
        executorsOf(COUNT).forEach(({ vm }, index) => {
            speeds.add(endedOn(vm, vm === SLOW_VM ? 25_000 : 10_000, COUNT * number + index, 1));
        });
    }
    return speeds;
};

const idleView = (born: number) => viewOf([], executorsOf(COUNT, () => ({ born })));

// Guards against a restart that either forgets a slow VM or keeps it slow against what its runs show.
void t.test("a restart keeps what is known with less weight, and a changed executor starts anew", t => {
    const speeds = speedsFromEnds();
    const [first] = speeds.update(idleView(1), START);
    const restarted = speedsFromEnds();
    const [second] = restarted.update(idleView(2), START);
    t.equal(first?.vm, SLOW_VM);
    t.equal(second?.vm, SLOW_VM);
    t.ok((second?.evidence ?? 0) < (first?.evidence ?? 0), "less weight");
    speeds.forget(SLOW_VM);
    speeds.update(idleView(1), START + 2_000);
    t.strictSame(learned(speeds), {});
    t.end();
});

// Guards against knowledge that outlives its observations.
void t.test("an executor without new runs counts as normal after some minutes", t => {
    const speeds = speedsFromEnds();
    speeds.update(idleView(1), START);
    t.strictSame(Object.keys(learned(speeds)), [SLOW_VM]);
    speeds.update(idleView(1), START + 300_000);
    t.strictSame(learned(speeds), {});
    t.end();
});

// Guards against estimates that are long because of slow executors.
void t.test("samples count at normal speed, those of a gang at the speed of its slowest member", t => {
    const step = stepOf({ count: 2, isGang: true });
    const places = ["vm0", SLOW_VM].map(vm => ({ vm, born: 1 }));
    const ended = { jobId: "gang", run: 1, places, step, workMs: 20_000, endedAt: START };
    const gang = ["0.0.0", "0.0.1"].map((key): RunSample => ({
        ...{ queue: "batch", declaredMs: 0, actualMs: 20_000 },
        run: sampledRunOf({ ...ended, key }),
    }));
    const samples = [...gang, endedOn("vm1", 10_000, 0, 1), { queue: "batch", declaredMs: 0, actualMs: 7_000 }];
    const slowness = new Map([[SLOW_VM, 2]]);
    t.strictSame(atNormalSpeed(samples, slowness).map(({ actualMs }) => actualMs), [10_000, 10_000, 10_000, 7_000]);
    t.equal(atNormalSpeed(samples, new Map()), samples);
    t.equal(slowestOf(slowness, ["vm0", SLOW_VM]), 2);
    t.equal(slowestOf(undefined, ["vm0"]), 1);
    t.end();
});

// Guards against knowledge that depends on anything but the view, and against factors that no estimate can use.
void t.test("random views give repeatable speeds within bounds", t => {
    fc.assert(
        fc.property(viewInput, input => {
            const first = learnSlowness(buildView(input), [], new Map(), START);
            t.strictSame(learnSlowness(buildView(input), [], new Map(), START), first);
            const isInBounds = [...first.values()].every(({ slowness, evidence }) =>
                slowness >= 1 && slowness <= 8 && Number.isFinite(evidence)
            );
            if (!isInBounds) {
                throw new Error(JSON.stringify([...first]));
            }
        }),
        { seed: 20_253, numRuns: 400 },
    );
    t.end();
});

// Guards against a guarantee that is kept on normal executors only, and so too late.
void t.test("a guaranteed job starts within the reclaim time on full executors of unequal speed", t => {
    const cluster = new FakeCluster({
        ...{ executors: executorsOf(6), teams: TEAMS, timings: timingsSchema.parse({}), trueMs: () => 8_000 },
        rate: executor => executor === 2 || executor === 3 ? 0.4 : 1,
    });
    const submitSmall = (now: number): void => {
        if (now % 400 === 0) {
            const steps = [{ count: 9, declaredMs: 8_000 }];
            cluster.submit(jobOf({ id: `small${now}`, queue: "preview", acceptedAt: now, steps }));
        }
    };
    cluster.runUntil(40_000, submitSmall);
    t.strictSame(changedVms(cluster.speedLog), ["vm2", "vm3"]);
    const steps = [{ count: 3, isGang: true, isTight: true, declaredMs: 3_000, demand: { accelerators: 8 } }];
    cluster.submit(jobOf({ id: "urgent", queue: "counter", team: "weavers", acceptedAt: cluster.now, steps }));
    cluster.runUntil(44_000, submitSmall);
    const waitedMs = (cluster.records.get("urgent")?.firstStepAt ?? Infinity) - 40_000;
    t.ok(waitedMs <= 3_000, `started after ${waitedMs} ms`);
    t.end();
});
