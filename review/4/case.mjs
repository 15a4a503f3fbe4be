// A few jobs come that can never be done, among many that can; later only gangs come.
import { fileURLToPath } from "node:url";
import { Executor } from "../lib/executor.mjs";
import { Gangs } from "../lib/gangs.mjs";
import { createPrograms, createRequester, isReady, CONFIG, sleep, verdict, waitFor } from "../lib/programs.mjs";
import { openRecord } from "../lib/record.mjs";
import { startStore } from "../lib/store.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const EXECUTORS = 2;
const CAPACITY = { cpu: 128_000, task_memory_mb: 524_288, gpus: 8 };
const FIRST_JOBS = 60;
/** These of the first jobs can never be done: 3 of 60, a share of 0.05. */
const POISONED = new Set([20, 35, 50]);
const SPAN_MS = 3_000;
const WORK_MS = 300;
const POISONED_WORK_MS = 1_500;
/** Time for the first jobs to end. */
const LULL_MS = 15_000;
const LATER_JOBS = 10;
const FINISH_MS = 14_000;
const IDLE_MS = 3_000;
const GANG = 2;

const record = openRecord(fileURLToPath(new URL("record.txt", import.meta.url)));
const idOf = index => (0xd000000000000000n + BigInt(index)).toString(16);
const isPoisoned = spec => spec === "poisoned";

const play = async () => {
    const store = await startStore({ rows: [["op", "config", JSON.stringify(CONFIG)]], record });
    const programs = await createPrograms({ storeAddress: store.address, entries: 2, agents: EXECUTORS, record });
    const gangs = new Gangs();
    const executors = programs.agents.map((agent, index) =>
        new Executor({
            id: `i-${index + 1}`,
            record,
            service: "pattern-desk",
            zone: "a",
            rack: `r${index + 1}`,
            capacity: CAPACITY,
            control: () => agent.settings.announcements,
            gangs,
            gangOf: (_task, run, spec) => ({ size: GANG, failingIndex: isPoisoned(spec) ? run % GANG : undefined }),
            workMs: (_task, spec) => isPoisoned(spec) ? POISONED_WORK_MS : WORK_MS,
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
        const submit = async (index, spec) => {
            const { status } = await requester.submit(programs.entries[index % 2], idOf(index), {
                task_spec: spec,
                steps: [{ count: GANG, cpu: 15_000, task_memory_mb: 33_000, gpus: 1, estimated_ms: WORK_MS, gang_scheduled: true }],
            });
            return status === 200;
        };
        for (let index = 0; index < FIRST_JOBS; index += 1) {
            const spec = HAS_TROUBLE && POISONED.has(index) ? "poisoned" : "sound";
            if (!await submit(index, spec)) {
                return [2, `Job ${index} was not accepted.`];
            }
            await sleep(SPAN_MS / FIRST_JOBS);
        }
        await sleep(LULL_MS);
        const later = [];
        for (let index = FIRST_JOBS; index < FIRST_JOBS + LATER_JOBS; index += 1) {
            if (await submit(index, "sound")) {
                later.push(idOf(index));
            }
            await sleep(1_000);
        }
        await sleep(FINISH_MS);
        const states = new Map();
        for (let index = 0; index < FIRST_JOBS + LATER_JOBS; index += 1) {
            states.set(idOf(index), await requester.stateOf(programs.entries[0], idOf(index)));
        }
        const started = new Set(executors.flatMap(({ events }) => events)
            .filter(({ what }) => what === "start").map(({ task }) => task.split(".")[0]));
        const running = executors.reduce((sum, { incarnation }) => sum + incarnation.running.size, 0);
        const stuck = later.filter(id => !started.has(id));
        const open = [...states].filter(([, state]) => state !== "completed" && state !== "failed");
        record.write("states at the end", { open });
        const text = `${later.length} sound gangs of ${GANG} accepted after the lull, ${stuck.length} of them not started `
            + `${FINISH_MS} ms after the last, with ${running} tasks running on ${EXECUTORS} executors; ${open.length} of `
            + `all ${states.size} jobs have not ended`;
        if (stuck.length > 0 && running === 0 && FINISH_MS > IDLE_MS) {
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
