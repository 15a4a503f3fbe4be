// Answers of the store are lost and the writes are done seconds later, while requesters hand jobs in and cancel them.
import { fileURLToPath } from "node:url";
import { Executor } from "../lib/executor.mjs";
import { createPrograms, createRequester, isReady, CONFIG, sleep, verdict, waitFor } from "../lib/programs.mjs";
import { openRecord } from "../lib/record.mjs";
import { startStore } from "../lib/store.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const WINDOWS = 3;
/** How long answers of the store are lost. */
const WINDOW_MS = 2_500;
/** Share of the writes whose answers are lost, and how much later they are done. */
const LOST_SHARE = 0.35;
const LATE_MS = 6_000;
const SUBMIT_MS = 1_500;
const JOB_EVERY_MS = 60;
/** Previews that fill both executors: 16 tasks with one GPU each. */
const FILL = { count: 16, cpu: 11_000, task_memory_mb: 33_000, gpus: 1, estimated_ms: 13_571 };
const FILL_MS = 13_571;
const WORK_MS = 500;
/** From the first lost answer to the end of a round: all late jobs have had their turn by then. */
const ROUND_MS = 18_000;
const CANCEL_MS = 3_000;
const CONTACT_MS = 3_000;

const record = openRecord(fileURLToPath(new URL("record.txt", import.meta.url)));
const fillId = window => `00000000000000f${window}`;
const idOf = index => (0xe000000000000000n + BigInt(index)).toString(16);

const play = async () => {
    let isLosing = false;
    let calls = 0;
    const store = await startStore({
        rows: [["op", "config", JSON.stringify(CONFIG)]],
        record,
        // Exactly 35 of each 100 writes, evenly spread.
        onTransaction: () => {
            if (!isLosing) {
                return undefined;
            }
            calls += 1;
            const isLost = Math.floor(calls * LOST_SHARE) > Math.floor((calls - 1) * LOST_SHARE);
            return isLost ? { loseMs: LATE_MS } : undefined;
        },
    });
    const programs = await createPrograms({ storeAddress: store.address, entries: 2, agents: 2, record });
    const executors = programs.agents.map((agent, index) =>
        new Executor({
            id: `i-${index + 1}`,
            record,
            service: "pattern-desk",
            zone: "a",
            rack: `r${index + 1}`,
            capacity: { cpu: 128_000, task_memory_mb: 524_288, gpus: 8 },
            control: () => agent.settings.announcements,
            workMs: (_task, spec) => spec === "fill" ? FILL_MS : WORK_MS,
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
        const cancelled = [];
        const pending = [];
        const windowEnds = [];
        let count = 0;
        /** A requester that gives up: it cancels its job if it has not heard that the job was accepted. */
        const handIn = async index => {
            const entry = programs.entries[index % 2];
            const { status } = await requester.submit(entry, idOf(index), {
                task_spec: "preview",
                steps: [{ count: 1, cpu: 1_000, task_memory_mb: 256, gpus: 1, estimated_ms: WORK_MS }],
            });
            if (status !== 200) {
                const answer = await requester.cancel(programs.entries[(index + 1) % 2], idOf(index));
                if (answer.status === 200 || answer.status === 410) {
                    cancelled.push({ id: idOf(index), submitted: status, status: answer.status, at: record.now() });
                }
            }
        };
        const startsOf = id => executors.flatMap(({ events }) => events)
            .filter(({ what, task }) => what === "start" && task.startsWith(`${id}.`));
        for (let window = 0; window < WINDOWS; window += 1) {
            await requester.submit(programs.entries[0], fillId(window), { task_spec: "fill", steps: [FILL] });
            if (!await waitFor(() => startsOf(fillId(window)).length === FILL.count, 5_000, 10)) {
                return [2, "The executors were not filled."];
            }
            const roundEnds = sleep(ROUND_MS);
            isLosing = HAS_TROUBLE;
            record.write("answers of the store are lost from now on", { isLosing });
            for (let spent = 0; spent < SUBMIT_MS; spent += JOB_EVERY_MS) {
                pending.push(handIn(count));
                count += 1;
                await sleep(JOB_EVERY_MS);
            }
            await sleep(WINDOW_MS - SUBMIT_MS);
            isLosing = false;
            windowEnds.push(record.now());
            record.write("answers of the store are not lost any more");
            await roundEnds;
        }
        await Promise.all(pending);
        const starts = executors.flatMap(({ events }) => events).filter(({ what }) => what === "start");
        // The disturbance ends when the last late write has been done; the core is stable `contact_timeout_ms` later.
        const isCalm = at => windowEnds.some(end =>
            at >= end + LATE_MS + CONTACT_MS && at <= end + ROUND_MS - WINDOW_MS
        );
        const late = cancelled.flatMap(({ id, submitted, status, at }) =>
            starts.filter(start => start.task.startsWith(`${id}.`) && start.at > at + CANCEL_MS && isCalm(start.at))
                .map(start => ({ id, submitted, cancel: status, cancelledAt: at, startedAt: start.at }))
        );
        const early = cancelled.filter(({ id }) => starts.some(({ task }) => task.startsWith(`${id}.`))).length;
        const text = `${count} jobs handed in, ${cancelled.length} of them not accepted in time and cancelled with an answer, `
            + `${early} of these started, ${late.length} later than ${CANCEL_MS} ms after that answer with the store calm for `
            + `${CONTACT_MS} ms`;
        if (late.length > 0) {
            return [1, `UNASKED: ${text}; the first is ${JSON.stringify(late[0])}.`];
        }
        return [!HAS_TROUBLE && starts.length < count + WINDOWS * FILL.count ? 2 : 0, `${text}.`];
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
