// The operator removes a route while a job of it has a small task on each executor. Jobs of another route are accepted
// from then on and never start, although the executors are nearly empty.
import { fileURLToPath } from "node:url";
import { CannotRun, configOf, isTrouble, jobOf, machines, runCase } from "../shared-2/case.mjs";
import { sleep, waitFor } from "../shared-2/deployment.mjs";

const EXECUTORS = 4;
const LASTING = "00000bb87a21d94b";
const JOB = "5c0e7a21d94b36f8";
const CONFIG_APPLY_MS = 2_000;
const FINISH_MS = 14_000;
/** How long a job may have nothing running while there is room for it. */
const IDLE_MS = 3_000;

const body = async ({ configure, submit, stateOf, startOn, record }) => {
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
    const step = { count: EXECUTORS, cpu: 1_000, task_memory_mb: 256, gpus: 1, anti_affinity: 1, long_running: true };
    await submit(`/signs/${LASTING}`, jobOf({ lasts: true }, step));
    if (!await waitFor(() => starts.length === EXECUTORS, 10_000)) {
        throw new CannotRun("The tasks that last did not start.");
    }
    await sleep(1_000);
    configure(configOf(isTrouble ? ["batches"] : ["batches", "signs"]));
    await sleep(CONFIG_APPLY_MS + 500);
    await submit(`/batches/${JOB}`, jobOf({ workMs: 2_000 }, { cpu: 15_000, task_memory_mb: 1_000, gpus: 2 }));
    const isStarted = () => starts.some(task => task.startsWith(`${JOB}.`));
    await waitFor(isStarted, FINISH_MS);
    await stateOf(`/batches/${JOB}`);
    await waitFor(isStarted, IDLE_MS);
    record.note("the accepted job", { isStarted: isStarted(), state: await stateOf(`/batches/${JOB}`) });
    return isStarted();
};

await runCase({
    folder: fileURLToPath(new URL(".", import.meta.url)),
    entries: machines("frontend", 2),
    agents: machines("side", EXECUTORS),
    config: configOf(["batches", "signs"]),
    body,
});
