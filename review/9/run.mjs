// Large jobs come and wait for room that tasks that last hold. A job whose data is on the rack of these tasks is accepted
// and never starts on the other racks, which are empty.
import { fileURLToPath } from "node:url";
import { CannotRun, configOf, isTrouble, jobOf, machines, runCase } from "../shared-2/case.mjs";
import { sleep, waitFor } from "../shared-2/deployment.mjs";

const EXECUTORS = 8;
/** Executors of the first rack, which the tasks that last fill. */
const BUSY_EXECUTORS = 3;
const LARGE_JOBS = 14;
/** The usual rate of counter-render on the site, 0.326 a second. */
const LARGE_JOB_INTERVAL_MS = 3_067;
const LASTING = "00000bb87a21d94b";
const JOB = "5c0e7a21d94b36f8";
const FINISH_MS = 14_000;
/** How long a job may have nothing running while there is room for it. */
const IDLE_MS = 3_000;
const WHOLE_EXECUTOR = { cpu: 52_000, task_memory_mb: 1_000, gpus: 8 };

const config = {
    ...configOf(["signs"]),
    routes: [
        ...configOf(["signs"], { priority: 0 }).routes,
        ...configOf(["renders"], { priority: 0, target_latency_ms: 300 }).routes,
        ...configOf(["previews"], { priority: 2, target_latency_ms: 3_000 }).routes,
    ],
};

const body = async ({ submit, stateOf, startOn, record }) => {
    const starts = [];
    const onEvent = (what, data) => {
        record.note(what, data);
        if (what === "start") {
            starts.push(data.task);
        }
    };
    for (let index = 0; index < EXECUTORS; index += 1) {
        await startOn(index, { onEvent });
    }
    await sleep(2_000);
    const lasting = { ...WHOLE_EXECUTOR, count: BUSY_EXECUTORS, required_label: "r1", long_running: true };
    await submit(`/signs/${LASTING}`, jobOf({ lasts: true }, lasting));
    if (!await waitFor(() => starts.length === BUSY_EXECUTORS, 5_000)) {
        throw new CannotRun("The tasks that last did not start.");
    }
    await sleep(1_000);
    for (let number = 0; number < LARGE_JOBS; number += 1) {
        if (isTrouble) {
            const large = { count: EXECUTORS, cpu: 15_000, task_memory_mb: 79_000, gpus: 8, gang_scheduled: true };
            await submit(`/renders/0000c81e7a21d9${10 + number}`, jobOf({ workMs: 3_571 }, large));
        }
        await sleep(LARGE_JOB_INTERVAL_MS);
    }
    const step = { count: 9, cpu: 11_000, task_memory_mb: 1_000, gpus: 1, data_rack: "r1" };
    await submit(`/previews/${JOB}`, jobOf({ workMs: 13_600 }, step));
    const isStarted = () => starts.some(task => task.startsWith(`${JOB}.`));
    await waitFor(isStarted, FINISH_MS);
    await stateOf(`/previews/${JOB}`);
    await waitFor(isStarted, IDLE_MS);
    record.note("the accepted job", { isStarted: isStarted(), state: await stateOf(`/previews/${JOB}`) });
    return isStarted();
};

await runCase({
    folder: fileURLToPath(new URL(".", import.meta.url)),
    entries: machines("frontend", 2),
    agents: machines("side", EXECUTORS),
    config,
    body,
});
