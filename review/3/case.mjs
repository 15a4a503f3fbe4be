// An executor is cut off from its machine's agent, crashes behind the cut and starts again under the id that it had.
import { fileURLToPath } from "node:url";
import { Executor } from "../lib/executor.mjs";
import { createPrograms, createRequester, isReady, CONFIG, sleep, verdict, waitFor } from "../lib/programs.mjs";
import { startProxy } from "../lib/proxy.mjs";
import { openRecord } from "../lib/record.mjs";
import { startStore } from "../lib/store.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const ROUNDS = 4;
const CUT_MS = 5_000;
const CRASH_AFTER_MS = 500;
/** `address_reuse_s` of the site is 2 s. */
const DOWN_MS = 2_200;
const SUBMIT_AFTER_MS = 3_300;
const WORK_MS = 4_000;
const CALM_MS = 9_000;
const TASKS = 12;

const record = openRecord(fileURLToPath(new URL("record.txt", import.meta.url)));
const jobId = round => `00000000000000c${round}`;

/** Starts of a task while another run of it was at work on an executor that was up. */
const doubleRuns = events => {
    const atWork = new Map();
    const found = [];
    for (const event of events) {
        const key = `${event.executor} ${event.born} ${event.task} ${event.run}`;
        if (event.what === "start") {
            const other = [...atWork.values()].find(({ task }) => task === event.task);
            if (other !== undefined) {
                found.push({ task: event.task, first: other, second: event });
            }
            atWork.set(key, event);
        }
        else if (event.what === "end") {
            atWork.delete(key);
        }
        else if (event.what === "executor down") {
            [...atWork].filter(([, { executor, born }]) => executor === event.executor && born === event.born)
                .forEach(([id]) => atWork.delete(id));
        }
    }
    return found;
};

const play = async () => {
    const store = await startStore({ rows: [["op", "config", JSON.stringify(CONFIG)]], record });
    const programs = await createPrograms({ storeAddress: store.address, entries: 2, agents: 2, record });
    let isCut = false;
    const executors = programs.agents.map((agent, index) =>
        new Executor({
            id: `i-${index + 1}`,
            record,
            service: "pattern-desk",
            zone: "a",
            rack: `r${index + 1}`,
            capacity: { cpu: 128_000, task_memory_mb: 524_288, gpus: 8 },
            control: () => agent.settings.announcements,
            isCutOff: () => index === 0 && isCut,
            workMs: () => WORK_MS,
        })
    );
    const [first] = executors;
    const proxy = await startProxy(() => first.incarnation.server.port);
    first.publicAddress = proxy.address;
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
        const ids = [];
        for (let round = 1; round <= ROUNDS; round += 1) {
            const until = sleep(CUT_MS);
            if (HAS_TROUBLE) {
                record.write("cut begins", { executor: first.options.id });
                isCut = true;
                proxy.cut();
                await sleep(CRASH_AFTER_MS);
                first.crash();
                await sleep(DOWN_MS);
                await first.start();
                await sleep(SUBMIT_AFTER_MS - CRASH_AFTER_MS - DOWN_MS);
            }
            else {
                await sleep(SUBMIT_AFTER_MS);
            }
            const { status } = await requester.submit(programs.entries[round % 2], jobId(round), {
                task_spec: "preview",
                steps: [{ count: TASKS, cpu: 11_000, task_memory_mb: 33_000, gpus: 1, estimated_ms: WORK_MS }],
            });
            if (status === 200) {
                ids.push(jobId(round));
            }
            await until;
            if (HAS_TROUBLE) {
                isCut = false;
                proxy.heal();
                record.write("cut ends", { executor: first.options.id });
            }
            await sleep(CALM_MS);
        }
        const isCompleted = async id => await requester.stateOf(programs.entries[0], id) === "completed";
        const areCompleted = await waitFor(async () => (await Promise.all(ids.map(isCompleted))).every(Boolean), 20_000, 1_000);
        const events = executors.flatMap(executor => executor.events).sort((a, b) => a.at - b.at);
        const twice = doubleRuns(events);
        const counts = `${ids.length} jobs of ${TASKS} tasks accepted, all completed: ${areCompleted}, `
            + `${events.filter(({ what }) => what === "start").length} starts`;
        if (twice.length > 0) {
            return [1, `TWICE: ${twice.length} times a task was started while a run of it was at work, first ${JSON.stringify(twice[0])}; ${counts}.`];
        }
        return [areCompleted ? 0 : 2, `No task ran twice at the same time; ${counts}.`];
    }
    finally {
        executors.forEach(executor => {
            executor.close();
        });
        proxy.close();
        await programs.end();
        store.close();
    }
};

const [code, text] = await play().catch(err => [2, String(err?.stack ?? err)]);
verdict(record, code, text);
