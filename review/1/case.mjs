// A large scheduled job comes beside small jobs, and its row of progress outgrows the longest row of the store.
import { fileURLToPath } from "node:url";
import { Executor } from "../lib/executor.mjs";
import { createPrograms, createRequester, isReady, CONFIG, sleep, verdict, waitFor } from "../lib/programs.mjs";
import { openRecord } from "../lib/record.mjs";
import { startStore } from "../lib/store.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const EXECUTORS = 3;
const CAPACITY = { cpu: 128_000, task_memory_mb: 524_288, gpus: 8 };
const WORK_MS = 1_000;
const LARGE = "00000000000000b1";
/** The largest glaze-preview of the site hplmc-sched-grown: 3 steps, 230 tasks each, 6 times, every 2 s. */
const LARGE_JOB = { steps: 3, width: 230, times: 6, everyMs: 2_000 };
const SMALL_EVERY_MS = 500;
const PLAY_MS = 45_000;
/** `finish_s` of the site: how long after the end of the traffic each accepted job still has to be known and go on. */
const FINISH_MS = 14_000;
/** LOST: nothing of a job runs for this long though its turn has come and there is room. */
const IDLE_MS = 3_000;

const record = openRecord(fileURLToPath(new URL("record.txt", import.meta.url)));
const smallId = index => `00000000000${(0xa0000 + index).toString(16)}`;
const step = count => ({ count, cpu: 100, task_memory_mb: 64, estimated_ms: WORK_MS });

/** The longest span, up to `until`, in which no task of a job ran from its answer 200 on, and the job had not ended. */
const longestIdle = (events, id, from, until) => {
    let idleSince = from;
    let running = 0;
    let longest = 0;
    let isDone = false;
    for (const event of events.filter(({ task, at }) => task?.startsWith(`${id}.`) === true && at <= until)) {
        if (event.what === "start") {
            longest = running === 0 ? Math.max(longest, event.at - idleSince) : longest;
            running += 1;
        }
        else if (event.what === "end") {
            running -= 1;
            idleSince = event.at;
            isDone ||= event.how === "done";
        }
    }
    return running === 0 && !isDone ? Math.max(longest, until - idleSince) : longest;
};

const play = async () => {
    const store = await startStore({ rows: [["op", "config", JSON.stringify(CONFIG)]], record });
    const programs = await createPrograms({ storeAddress: store.address, entries: 2, agents: EXECUTORS, record });
    const executors = programs.agents.map((agent, index) =>
        new Executor({
            id: `i-${index + 1}`,
            record,
            service: "pattern-desk",
            zone: "a",
            rack: `r${index + 1}`,
            capacity: CAPACITY,
            control: () => agent.settings.announcements,
            // Spread over half a second, so that the ends of one instant stay few.
            workMs: task => WORK_MS + Number(task.split(".").at(-1)) * 2,
        })
    );
    try {
        [...programs.entries, ...programs.agents].forEach(program => {
            program.start();
        });
        await Promise.all(executors.map(executor => executor.start()));
        const areReady = await waitFor(async () => (await Promise.all(programs.entries.map(isReady))).every(Boolean), 15_000);
        if (!areReady) {
            return [2, "The entries did not become ready."];
        }
        await sleep(3_000);
        const requester = createRequester(record);
        const accepted = [];
        const startedAt = record.now();
        if (HAS_TROUBLE) {
            const { status } = await requester.submit(programs.entries[0], LARGE, {
                task_spec: "large",
                steps: Array.from({ length: LARGE_JOB.steps }, () => step(LARGE_JOB.width)),
                repetitions: LARGE_JOB.times,
                first_run_ms: Date.now() + 1_000,
                interval_ms: LARGE_JOB.everyMs,
            });
            if (status !== 200) {
                return [2, `The large job was answered ${status}.`];
            }
        }
        for (let index = 0; record.now() - startedAt < PLAY_MS - FINISH_MS; index += 1) {
            const id = smallId(index);
            const { status } = await requester.submit(programs.entries[index % 2], id, { task_spec: "small", steps: [step(1)] });
            if (status === 200) {
                accepted.push({ id, at: record.now() });
            }
            await sleep(SMALL_EVERY_MS);
        }
        await sleep(FINISH_MS);
        const until = record.now();
        const states = new Map();
        for (const { id } of accepted) {
            states.set(id, await requester.stateOf(programs.entries[0], id));
        }
        const events = executors.flatMap(executor => executor.events).sort((a, b) => a.at - b.at);
        const open = accepted.filter(({ id }) => states.get(id) !== "completed");
        const idle = open.filter(({ id, at }) => longestIdle(events, id, at, until) > IDLE_MS);
        const busy = Math.max(...executors.map(({ incarnation }) => incarnation.running.size));
        record.write("states at the end", { open: open.map(({ id }) => [id, states.get(id)]) });
        const text = `${accepted.length} small jobs accepted, ${open.length} of them not completed ${FINISH_MS} ms after the `
            + `last, ${idle.length} of these had nothing running for over ${IDLE_MS} ms; at most ${busy} tasks of 100 `
            + `thousandths of a core run on an executor of ${CAPACITY.cpu} at the end`;
        if (idle.length > 0 && busy * 100 * 2 < CAPACITY.cpu) {
            return [1, `LOST: ${text}.`];
        }
        return [open.length === 0 ? 0 : 2, `${text}.`];
    }
    finally {
        executors.forEach(executor => {
            executor.close();
        });
        await programs.end();
        store.close();
    }
};

const [code, text] = await play().catch(err => [2, String(err?.stack ?? err)]);
verdict(record, code, text);
