// An agent's process is killed while many short tasks run on its executor, and starts again 3 s later.
import { fileURLToPath } from "node:url";
import { Executor } from "../lib/executor.mjs";
import { createPrograms, createRequester, isReady, CONFIG, sleep, verdict, waitFor } from "../lib/programs.mjs";
import { openRecord } from "../lib/record.mjs";
import { startStore } from "../lib/store.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const JOBS = 20;
const TASKS_PER_JOB = 40;
const FIRST_WORK_MS = 6_000;
const WORK_STEP_MS = 3;
const DOWN_MS = 3_000;
const TIMEOUT_MS = 90_000;

const record = openRecord(fileURLToPath(new URL("record.txt", import.meta.url)));
const jobId = index => (0xa000000000000000n + BigInt(index)).toString(16);

/** Task N of all tasks works N * 3 ms longer than the first one, so that ends come at a rate of 333 a second. */
const workMs = task => {
    const [id, , , index] = task.split(".");
    const job = Number(BigInt(`0x${id}`) - 0xa000000000000000n);
    return FIRST_WORK_MS + WORK_STEP_MS * (job * TASKS_PER_JOB + Number(index));
};

/**
 * Starts of a task after one of its runs had ended `done`, if that end was taken note of then or later. An end does not
 * count if the lease of its executor lapsed between the two.
 */
const secondRuns = events => {
    const lapses = events.filter(({ what }) => what === "lease lapsed").map(({ at }) => at);
    const notedAt = new Map(
        events.filter(({ what }) => what === "end taken note of").map(({ task, run, at }) => [`${task}#${run}`, at]),
    );
    const isCounted = ({ task, run, at }) => {
        const noted = notedAt.get(`${task}#${run}`);
        return noted !== undefined && !lapses.some(lapse => lapse >= at && lapse <= noted);
    };
    const done = new Map();
    const found = [];
    for (const event of events) {
        if (event.what === "end" && event.how === "done" && isCounted(event)) {
            done.set(event.task, event);
        }
        else if (event.what === "start" && done.has(event.task)) {
            found.push({ task: event.task, run: event.run, at: event.at, doneAt: done.get(event.task).at });
        }
    }
    return found;
};

const play = async () => {
    const store = await startStore({ rows: [["op", "config", JSON.stringify(CONFIG)]], record });
    const programs = await createPrograms({ storeAddress: store.address, entries: 2, agents: 1, record });
    const [agent] = programs.agents;
    const executor = new Executor({
        id: "i-1",
        record,
        service: "pattern-desk",
        zone: "a",
        rack: "r1",
        capacity: { cpu: 128_000, task_memory_mb: 524_288, gpus: 8 },
        control: () => agent.settings.announcements,
        workMs,
    });
    try {
        [...programs.entries, agent].forEach(program => {
            program.start();
        });
        await executor.start();
        const areReady = await waitFor(async () => (await Promise.all(programs.entries.map(isReady))).every(Boolean), 15_000);
        if (!areReady) {
            return [2, "The entries did not become ready."];
        }
        await sleep(3_000);
        const requester = createRequester(record);
        const ids = Array.from({ length: JOBS }, (_, index) => jobId(index));
        const body = {
            task_spec: "preview",
            steps: [{ count: TASKS_PER_JOB, cpu: 100, task_memory_mb: 256, estimated_ms: FIRST_WORK_MS }],
        };
        const answers = await Promise.all(ids.map((id, index) => requester.submit(programs.entries[index % 2], id, body)));
        if (answers.some(({ status }) => status !== 200)) {
            return [2, "A job was not accepted."];
        }
        const counts = what => executor.events.filter(event => event.what === what).length;
        if (!await waitFor(() => counts("start") >= JOBS * TASKS_PER_JOB && counts("end") > 0, 20_000, 10)) {
            return [2, `Only ${counts("start")} tasks started.`];
        }
        if (HAS_TROUBLE) {
            agent.signal("SIGKILL");
            await sleep(DOWN_MS);
            agent.start();
        }
        const isCompleted = async id => await requester.stateOf(programs.entries[0], id) === "completed";
        const areCompleted = await waitFor(async () => (await Promise.all(ids.map(isCompleted))).every(Boolean), TIMEOUT_MS - 40_000, 1_000);
        await sleep(1_000);
        const again = secondRuns(executor.events);
        const most = `${counts("start")} starts of ${JOBS * TASKS_PER_JOB} tasks, ${counts("end")} ends, all jobs completed: ${areCompleted}`;
        return again.length > 0
            ? [1, `TWICE: ${again.length} tasks were started after a run had ended done, the first is ${JSON.stringify(again[0])}; ${most}.`]
            : [areCompleted ? 0 : 2, `No task was started after it had ended done; ${most}.`];
    }
    finally {
        executor.close();
        await programs.end();
        store.close();
    }
};

const [code, text] = await play().catch(err => [2, String(err?.stack ?? err)]);
verdict(record, code, text);
