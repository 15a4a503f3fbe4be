// A tenant's job runs on a private queue. A caller of a public queue hands in a job of its own, with an ID that it chose
// and that happens to be the same, and cancels it.
import { fileURLToPath } from "node:url";
import { startExecutor } from "../shared-3/executor.mjs";
import { createRequester, HOST, runCase, startSystem } from "../shared-3/system.mjs";
import { sleep } from "../shared-3/wire.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const TASK_MS = 8_000;
const STOP_MS = 1_000;
const ID = "00000000000000b2";
const PRIVATE_JOB = `/batches/${ID}`;
const PUBLIC_JOB = `/guests/${ID}`;
const CONFIG = {
    version: 1,
    routes: [
        { name: "batches", host: HOST, path_prefix: "/batches/", service: "desk", max_attempts: 4 },
        { name: "guests", host: HOST, path_prefix: "/guests/", service: "desk", max_attempts: 4, public: true },
    ],
    services: [{ name: "desk" }],
    tenants: [{ name: "weavers", api_keys: ["key"] }],
};

await runCase(fileURLToPath(new URL("record.txt", import.meta.url)), async ({ record, onEnd }) => {
    const ends = [];
    const note = (what, details) => {
        if (what === "end" && details.task.startsWith(ID)) {
            ends.push(details.how);
        }
        record.note(what, details);
    };
    const system = await startSystem({ config: CONFIG, machines: ["side-1"] });
    onEnd(system.stop);
    const executor = await startExecutor({
        id: "i-1",
        service: "desk",
        zone: "a",
        labels: ["a", "r1"],
        capacity: { cpu: 8_000, task_memory_mb: 8_192, gpus: 8 },
        announcements: system.announcements[0],
        note,
    });
    onEnd(executor.crash);
    const owner = createRequester(system.requesters, "key", record.note, "owner");
    const guest = createRequester(system.requesters, undefined, record.note, "guest without a key");
    const steps = [{ count: 1, cpu: 1_000, task_memory_mb: 64, gpus: 1, estimated_ms: TASK_MS }];
    if (!await owner.submit(PRIVATE_JOB, { task_spec: String(TASK_MS), steps })) {
        throw new Error("The job was not accepted.");
    }
    for (const [index, other] of ["second", "third", "fourth"].entries()) {
        const caller = createRequester(system.requesters, "key", record.note, other);
        await caller.submit(`/batches/${index.toString(16).padStart(16, "0")}`, { task_spec: String(TASK_MS), steps });
    }
    await sleep(2_000);
    if (HAS_TROUBLE) {
        await guest.call("POST", PUBLIC_JOB, { task_spec: String(TASK_MS), steps });
        await guest.call("GET", PUBLIC_JOB);
        await sleep(1_000);
        await guest.call("DELETE", PUBLIC_JOB);
    }
    const until = performance.now() + 20_000;
    let state = await owner.state(PRIVATE_JOB);
    while (performance.now() < until && (state === "queued" || state === "running")) {
        await sleep(1_000);
        state = await owner.state(PRIVATE_JOB);
    }
    await sleep(STOP_MS);
    return state === "completed"
        ? undefined
        : `the owner's job, which nobody with its tenant's key has cancelled, is shown as ${state}; its run ended `
            + `${ends.join(", ")}`;
});
