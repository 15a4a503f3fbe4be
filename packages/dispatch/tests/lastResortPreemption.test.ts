import { timingsSchema } from "@persimmonpitch/workload/timings.js";
import fc from "fast-check";
import t from "tap";
import { PREEMPTS_AT_ONCE } from "../src/dispatchOptions.js";
import { dispatchPass, runPass } from "../src/dispatchPass.js";
import type { JobView } from "../src/dispatchView.js";
import { FakeCluster } from "../src/fakeCluster.js";
import { executorsOf, jobOf, placedOn, runOf, START, TEAMS, viewOf } from "./dispatchFixture.js";
import { ruleBreaches } from "./dispatchRules.js";

const RECLAIM_MS = 3_000;
const WHOLE = { demand: { accelerators: 8 } };
const TASK = "0.0.0";

/** A job with one task on all accelerators of an executor. */
const onWhole = (id: string, executor: number, change: Parameters<typeof jobOf>[0]["steps"][number] = {}, run = 1) =>
    jobOf({
        ...{ id, queue: "preview", steps: [{ ...WHOLE, declaredMs: 10_000, ...change }] },
        tasks: { [TASK]: { ...placedOn(executor, TASK)[TASK], run } },
    });

const wholeRun = (id: string, elapsedMs: number, percent: number, run = 1) =>
    runOf(id, TASK, elapsedMs, percent, { run, demand: { accelerators: 8, milliCores: 0, memoryMb: 0 } });

const guaranteed = (id = "urgent", acceptedAt = START, declaredMs = 3_000): JobView =>
    jobOf({ id, queue: "counter", team: "weavers", acceptedAt, steps: [{ ...WHOLE, declaredMs }] });

const stopsOf = (...[jobs, executors, change]: Parameters<typeof viewOf>): readonly string[] => {
    const view = viewOf(jobs, executors, change);
    const decisions = dispatchPass(view);
    t.same(ruleBreaches(view, decisions), []);
    return decisions.flatMap(one => one.kind === "stop" ? [one.jobId] : []);
};

// Guards against a guarantee that stops a run although another one is about to end.
void t.test("a guaranteed unit waits for a run that ends in time, and nothing else takes its place", t => {
    const ending = [onWhole("ending", 0), onWhole("long", 1)];
    const runs = [[wholeRun("ending", 9_500, 95)], [wholeRun("long", 1_000, 10)]];
    const executors = executorsOf(2, index => ({ runs: runs[index] ?? [] }));
    t.same(stopsOf([...ending, guaranteed()], executors), []);
    const { waiting } = runPass(viewOf([...ending, guaranteed()], executors));
    t.same(waiting.map(({ kind }) => kind), ["reserved"]);
    const second = guaranteed("second", START + 1);
    t.same(stopsOf([...ending, guaranteed(), second], executors), ["long"], "the second unit needs another executor");
    t.end();
});

// Guards against deployments that do not ask for the wait and get it nevertheless.
void t.test("a guaranteed unit preempts at once if the wait is switched off", t => {
    const view = viewOf(
        [onWhole("ending", 0), guaranteed()],
        executorsOf(1, () => ({ runs: [wholeRun("ending", 9_500, 95)] })),
    );
    t.same(dispatchPass(view).map(({ kind }) => kind), [], "by default it waits");
    t.same(dispatchPass(view, PREEMPTS_AT_ONCE).map(({ kind }) => kind), ["stop"]);
    t.end();
});

// Guards against a unit that waits for longer than its slack or its reclaim limit allow, by estimates that are wrong.
void t.test("a guaranteed unit preempts if the wait is longer than its slack, and before its reclaim limit", t => {
    const jobs = [onWhole("ending", 0), onWhole("long", 1)];
    const runs = (percent: number) => [[wholeRun("ending", 100 * percent, percent)], [wholeRun("long", 1_000, 10)]];
    const executors = (percent: number) => executorsOf(2, index => ({ runs: runs(percent)[index] ?? [] }));
    t.same(stopsOf([...jobs, guaranteed()], executors(70)), ["long"], "the room comes after the slack");
    const old = guaranteed("urgent", START - 1_500, 30_000);
    t.same(stopsOf([...jobs, old], executors(99)), ["long"], "the time left is only enough for a stop");
    t.end();
});

// Guards against stops although room frees itself in time, and against waits that it does not.
void t.test("a guaranteed unit preempts if and only if no run ends in time", t => {
    const percentMs = 100;
    // A stop timeout of 1 s and a margin of 0.6 s before the reclaim limit of 3 s; waits count 1.2 times.
    const latestStopMs = 1_400;
    const waitFactor = 1.2;
    const input = fc.record({
        percent: fc.integer({ min: 10, max: 99 }),
        ageMs: fc.integer({ min: 0, max: RECLAIM_MS }),
        executors: fc.integer({ min: 2, max: 5 }),
        ending: fc.nat(),
    });
    fc.assert(
        fc.property(input, ({ percent, ageMs, executors: count, ending }) => {
            const first = ending % count;
            const jobs = Array.from({ length: count }, (_, index) => onWhole(`low${index}`, index));
            const executors = executorsOf(count, index => ({
                runs: [
                    index === first
                        ? wholeRun(`low${index}`, percentMs * percent, percent)
                        : wholeRun(`low${index}`, 1_000, 10),
                ],
            }));
            const stops = stopsOf([...jobs, guaranteed("urgent", START - ageMs, 30_000)], executors);
            const isInTime = waitFactor * percentMs * (100 - percent) <= latestStopMs - ageMs;
            if ((stops.length === 0) !== isInTime) {
                throw new Error(`${stops.length} stops at ${percent}% after ${ageMs} ms`);
            }
        }),
        { seed: 20_264, numRuns: 500 },
    );
    t.end();
});

// Guards against reclaim limits that depend on estimates: runs that never end, and declared times that are far off.
void t.test("guaranteed starts meet the reclaim limit whatever the estimates are", t => {
    const input = fc.record({
        runningMs: fc.array(fc.integer({ min: 500, max: 60_000 }), { minLength: 6, maxLength: 6 }),
        declaredShare: fc.double({ min: 0.02, max: 20, noNaN: true }),
        urgentDeclaredMs: fc.integer({ min: 0, max: 60_000 }),
        stopMs: fc.integer({ min: 50, max: 1_000 }),
        arrivesAt: fc.integer({ min: 5, max: 160 }).map(tick => 50 * tick),
        hasCheckpoints: fc.boolean(),
        shapes: fc.array(fc.constantFrom([3, 8], [6, 4], [8, 1], [2, 8]), { minLength: 1, maxLength: 3 }),
        isGang: fc.boolean(),
        stalls: fc.boolean(),
    });
    fc.assert(
        fc.property(input, ({ runningMs, declaredShare, urgentDeclaredMs, stopMs, arrivesAt, ...traits }) => {
            const { hasCheckpoints, shapes, isGang, stalls } = traits;
            const cluster = new FakeCluster({
                executors: executorsOf(6),
                teams: TEAMS,
                timings: timingsSchema.parse({ reclaimMs: RECLAIM_MS }),
                trueMs: jobId => jobId.startsWith("urgent") ? 20_000 : runningMs[Number(jobId.slice(3)) % 6] ?? 1_000,
                stopMs: () => stopMs,
                rate: (_executor, now) => stalls && now >= arrivesAt ? 0.01 : 1,
                idlePassMs: 250,
            });
            for (let number = 0; number < 24; number += 1) {
                const declaredMs = (runningMs[number % 6] ?? 1_000) * declaredShare;
                const steps = [{
                    count: 4,
                    isGang: number % 2 === 0,
                    hasCheckpoints,
                    declaredMs,
                    demand: { accelerators: 2 },
                }];
                cluster.submit(jobOf({ id: `low${number}`, queue: "preview", acceptedAt: 0, steps }));
            }
            cluster.runUntil(arrivesAt);
            // The team is guaranteed 24 accelerators.
            let left = 24;
            const ids = shapes.flatMap(([count = 1, accelerators = 1], number) => {
                left -= count * accelerators;
                return left < 0 ? [] : [{ id: `urgent${number}`, count, accelerators }];
            });
            for (const { id, count, accelerators } of ids) {
                const steps = [{ count, isGang, declaredMs: urgentDeclaredMs, demand: { accelerators } }];
                cluster.submit(jobOf({ id, queue: "counter", team: "weavers", acceptedAt: cluster.now, steps }));
            }
            cluster.runUntil(arrivesAt + RECLAIM_MS + 1_000);
            for (const { id } of ids) {
                const waitedMs = (cluster.records.get(id)?.firstStepAt ?? Infinity) - arrivesAt;
                if (waitedMs > RECLAIM_MS) {
                    throw new Error(`${id} started after ${waitedMs} ms`);
                }
            }
        }),
        { seed: 20_263, numRuns: 150 },
    );
    t.end();
});

// Guards against the same job being the cheapest victim again and again, because it has always just restarted.
void t.test("a run that was restarted ranks behind others, and after some restarts it is the last choice", t => {
    const restarted = (run: number) => [onWhole("again", 0, {}, run), onWhole("first", 1)];
    const executors = (run: number) =>
        executorsOf(2, index => ({
            runs: index === 0 ? [wholeRun("again", 100, 1, run)] : [wholeRun("first", 1_000, 10)],
        }));
    t.same(stopsOf([...restarted(1), guaranteed()], executors(1)), ["again"], "it has just begun");
    t.same(stopsOf([...restarted(2), guaranteed()], executors(2)), ["first"]);
    const late = [onWhole("again", 0, {}, 4), onWhole("first", 1)];
    const lateRuns = executorsOf(2, index => ({
        runs: index === 0 ? [wholeRun("again", 100, 1, 4)] : [wholeRun("first", 60_000, 60)],
    }));
    t.same(stopsOf([...late, guaranteed()], lateRuns), ["first"]);
    const only = executorsOf(1, () => ({ runs: [wholeRun("again", 100, 1, 4)] }));
    t.same(stopsOf([onWhole("again", 0, {}, 4), guaranteed()], only), ["again"], "a guarantee holds in any case");
    t.end();
});

// Guards against stops of runs that lose much although others have just saved their work.
void t.test("a run that has just saved its work is stopped first", t => {
    const jobs = [onWhole("saved", 0, { hasCheckpoints: true }), onWhole("unsaved", 1, { hasCheckpoints: true })];
    const executors = executorsOf(2, index => ({
        runs: index === 0 ? [wholeRun("saved", 5_050, 50)] : [wholeRun("unsaved", 3_900, 39)],
    }));
    t.same(stopsOf([...jobs, guaranteed()], executors), ["saved"]);
    t.end();
});

// Guards against members of a gang that are not counted as lost because no executor lists them.
void t.test("the cost of a stop covers the whole gang", t => {
    const gang = jobOf({
        ...{ id: "gang", queue: "preview", steps: [{ count: 8, isGang: true, demand: { accelerators: 8 } }] },
        tasks: placedOn(0, ...Array.from({ length: 8 }, (_, index) => `0.0.${index}`)),
    });
    const executors = executorsOf(2, index => ({
        runs: [index === 0 ? wholeRun("gang", 500, 5) : wholeRun("single", 500, 5)],
    }));
    t.same(stopsOf([gang, onWhole("single", 1), guaranteed()], executors), ["single"]);
    t.end();
});
