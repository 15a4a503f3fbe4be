import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { formatFindings } from "@persimmonpitch/findings/finding.js";
import { formatSnapshot } from "@persimmonpitch/snapshots/formatSnapshot.js";
import { MemoryRowStore } from "@persimmonpitch/standins/memoryRowStore.js";
import { encodeProgress, encodeSplitHead, encodeTasks } from "@persimmonpitch/workload/progressRow.js";
import { stepSchema } from "@persimmonpitch/workload/step.js";
import t from "tap";
import { exportStepJobs } from "../src/exportStepJobs.js";
import { verifyStepJobs } from "../src/verifyStepJobs.js";

t.formatSnapshot = formatSnapshot;

const jobRow = (jobId: string, team: string) => ({
    key: `job/${jobId}`,
    value: JSON.stringify({ jobId, team, queue: "q", acceptedAt: 5, payload: "p", steps: [{ count: 2, demand: {} }] }),
});
const task = { run: 2, failures: 1, isDone: true, checkpoint: "c" };

const createStore = async () => {
    const store = new MemoryRowStore(new FakeClock());
    const puts = [
        jobRow("a", "t"),
        jobRow("b", "u"),
        jobRow("c", "t"),
        jobRow("d", "t"),
        { key: "cancel/c", value: JSON.stringify({ at: 9 }) },
        { key: "run/a", value: encodeProgress({ outcome: "completed", tasks: { "0.0.0": task, "0.0.1": task } }) },
        { key: "run/b", value: encodeProgress({ outcome: "failed", tasks: { "0.0.0": task } }) },
        { key: "role", value: "{}" },
    ];
    await store.client("x").commit({ puts });
    return store;
};
const collect = async (lines: AsyncIterable<string>): Promise<readonly string[]> => {
    const collected: string[] = [];
    for await (const line of lines) {
        collected.push(line);
    }
    return collected;
};

const readAll = async (store: MemoryRowStore, pageRows: number) => {
    const options = { store: store.client("x"), clock: new FakeClock(), team: "t", pageRows, maxReads: 1 };
    return collect(exportStepJobs(options));
};

// Guards against a job lost between pages, and one of another team in the export.
void t.test("a team's export", async t => {
    const store = await createStore();
    const lines = await readAll(store, 100);
    t.matchSnapshot(lines.join(""), "lines");
    for (const pageRows of [1, 2, 3]) {
        t.same(await readAll(store, pageRows), lines);
    }
    t.same(await verifyStepJobs(lines, "export"), []);
    store.setFaults({ down: true });
    await t.rejects(readAll(store, 1), { message: "the export is incomplete: the store answers unavailable" });
});

// Guards against tasks of a large job that are missing in the export, because they are stored in rows of their own.
void t.test("a team's export of a large job", async t => {
    const store = new MemoryRowStore(new FakeClock());
    const steps = [{ count: 250, demand: {} }];
    const puts = [
        {
            key: "job/a",
            value: JSON.stringify({ jobId: "a", team: "t", queue: "q", acceptedAt: 5, payload: "p", steps }),
        },
        { key: "run/a", value: encodeSplitHead("open", { isStarted: true }) },
        { key: "tasks/a/0", value: encodeTasks({ "0.0.0": task }) },
        { key: "tasks/a/2", value: encodeTasks({ "0.0.249": task }) },
        { key: "tasks/ab/0", value: encodeTasks({ "0.0.7": task }) },
    ];
    await store.client("x").commit({ puts });
    const lines = await readAll(store, 1);
    t.same(JSON.parse(lines[0] ?? ""), {
        job: { ...JSON.parse(puts[0]?.value ?? "") as object, steps: [stepSchema.parse(steps[0])] },
        outcome: "open",
        tasks: { "0.0.0": task, "0.0.249": task },
    });
    t.same(await verifyStepJobs(lines, "export"), []);
});

// Guards against an export that was changed or cut and still passes.
void t.test("findings", async t => {
    const lines = await readAll(await createStore(), 100);
    const [first = "", ...rest] = lines;
    const cases: Readonly<Record<string, readonly string[]>> = {
        nothing: [],
        "no manifest": lines.slice(0, -1),
        "a job left out": rest,
        "a repeated job": [first, ...lines],
        "a changed job": [first.replace("\"p\"", "\"z\""), ...rest],
        "another team": [first.replace("\"team\":\"t\"", "\"team\":\"u\""), ...rest],
        "a line of another form": ["{\n", ...lines],
        "a line after the manifest": [...lines, first],
    };
    for (const [name, changed] of Object.entries(cases)) {
        t.matchSnapshot(formatFindings(await verifyStepJobs(changed, "export")), name);
    }
});
