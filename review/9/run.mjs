// Tasks that last fail now and then, each by itself. They have to be started again, and there is room for all of them
// twice over at any time.
import { fileURLToPath } from "node:url";
import { CannotRun, configOf, isTrouble, jobOf, machines, runCase } from "../shared-2/case.mjs";
import { sleep, waitFor } from "../shared-2/deployment.mjs";

const EXECUTORS = 4;
const JOBS = ["00000bb87a21d941", "00000bb87a21d942", "00000bb87a21d943"];
const TASKS_PER_JOB = 4;
const FAILS_BETWEEN_MS = [15_000, 40_000];
const WATCHED_MS = 85_000;
/** From 6 s after its last run, a task that lasts may have nothing running for less than 3 s. */
const LONGEST_GAP_MS = 6_000 + 3_000;

const body = async ({ submit, startOn, record }) => {
    /** When the last run of each task that does not run now has ended. */
    const endedAt = new Map();
    const gaps = [];
    let startCount = 0;
    let failureCount = 0;
    const onEvent = (what, data) => {
        record.note(what, data);
        if (what === "start") {
            startCount += 1;
            if (endedAt.has(data.task)) {
                gaps.push({ task: data.task, ms: record.now() - endedAt.get(data.task) });
                endedAt.delete(data.task);
            }
        }
        else if (what === "end") {
            failureCount += 1;
            endedAt.set(data.task, record.now());
        }
    };
    for (let index = 0; index < EXECUTORS; index += 1) {
        await startOn(index, { onEvent });
    }
    const spec = { lasts: true, ...(isTrouble ? { failsBetweenMs: FAILS_BETWEEN_MS } : {}) };
    const step = { count: TASKS_PER_JOB, cpu: 15_000, task_memory_mb: 1_000, gpus: 2, long_running: true };
    for (const id of JOBS) {
        await submit(`/signs/${id}`, jobOf(spec, step));
    }
    if (!await waitFor(() => startCount === JOBS.length * TASKS_PER_JOB, 10_000)) {
        throw new CannotRun("The tasks did not start.");
    }
    await sleep(WATCHED_MS);
    for (const [task, at] of endedAt) {
        gaps.push({ task, ms: record.now() - at, isOpen: true });
    }
    const tooLong = gaps.filter(({ ms }) => ms > LONGEST_GAP_MS);
    const longestMs = Math.max(0, ...gaps.map(({ ms }) => ms));
    record.note("times without a run", { failures: failureCount, longestMs, tooLong });
    return tooLong.length === 0;
};

await runCase({
    folder: fileURLToPath(new URL(".", import.meta.url)),
    entries: machines("frontend", 2),
    agents: machines("side", EXECUTORS),
    config: configOf(["signs"]),
    body,
});
