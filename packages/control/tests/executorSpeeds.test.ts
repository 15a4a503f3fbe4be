import { executorInfoSchema } from "@persimmonpitch/workload/executorReport.js";
import { taskName } from "@persimmonpitch/workload/taskName.js";
import t from "tap";
import { isOtherMachine } from "../src/isOtherMachine.js";
import { restoreCluster } from "./clusterStateFixture.js";

const INFO = executorInfoSchema.parse({
    ...{ executorId: "x1", born: 100, service: "desk", dataCentre: "north", isDraining: false },
    ...{ capacity: { milliCores: 32_000, memoryMb: 64_000, accelerators: 8 }, labels: ["dye", "wide"] },
});

// Guards against ended runs that do not reach the learned speeds, and against a gang whose slowness is taken for that of
// the one member whose end is applied: the ends of the others are ignored, as the gang is done.
void t.test("an ended gang is sampled once, with all its executors and since its last member was listed", async t => {
    const keys = ["0.0.0", "0.0.1"];
    const placementOn = (index: number) => ({ vm: `worker-${index}`, executorId: `x${index}`, born: 100 + index });
    const tasks = Object.fromEntries(
        keys.map((key, index) => [key, { run: 3, placement: placementOn(index), failures: 0, isDone: false }]),
    );
    const { cluster, openJob, clock } = restoreCluster(
        [{ count: 2, isGang: true, demand: {}, declaredMs: 4_000 }],
        tasks,
    );
    const executors = keys.map((_, index) => cluster.getOrAddExecutor(`worker-${index}`, `x${index}`));
    const list = { clockMs: 1, hasMoreEnds: false, ends: [], running: [] };
    for (const [index, state] of executors.entries()) {
        await clock.advance(500);
        const run = { task: taskName("a", keys[index] ?? ""), run: 3, checkpoint: "", percent: 0 };
        cluster.applyRunList(state, { ...list, born: 100 + index, running: [run] });
    }
    await clock.advance(5_000);
    for (const [index, state] of executors.entries()) {
        const task = taskName("a", keys[index] ?? "");
        const ends = [{ number: 1, task, run: 3, kind: "done" as const, checkpoint: "" }];
        cluster.applyRunList(state, { ...list, clockMs: 5_001, born: 100 + index, ends });
    }
    const places = [{ vm: "worker-0", born: 100 }, { vm: "worker-1", born: 101 }];
    const samples = cluster.samples.samples.map(({ run, actualMs }) => ({ ...run, step: "", actualMs }));
    const times = { actualMs: 5_500, workMs: 5_000, endedAt: 6_000 };
    t.strictSame(samples, [{ places, step: "", stepId: "a 0", groupId: "a 0.0 3", ...times }]);
    t.equal(openJob.runStats.normalTaskMs(0, true, vm => vm === "worker-1" ? 2 : 1), 2_500);
});

// Guards against a speed that outlives the machine it was measured on, and against one that is lost with each report.
void t.test("another label or capacity is another machine, a restart or a drain is not", t => {
    const capacity = { ...INFO.capacity, accelerators: 4 };
    t.notOk(isOtherMachine(INFO, { ...INFO, born: 200, isDraining: true, labels: ["wide", "dye"] }));
    t.ok(isOtherMachine(INFO, { ...INFO, labels: ["dye"] }));
    t.ok(isOtherMachine(INFO, { ...INFO, capacity }));
    t.end();
});
