// One executor runs a job. A ping of another writer, whose service no config names, bears the same address.
import { fileURLToPath } from "node:url";
import { startExecutor } from "../shared-3/executor.mjs";
import { findOverlap } from "../shared-3/overlap.mjs";
import { createRequester, HOST, runCase, startSystem } from "../shared-3/system.mjs";
import { request, sleep, waitUntil } from "../shared-3/wire.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const TASK_MS = 15_000;
const JOB = "/batches/00000000000000a1";
const CONFIG = {
    version: 1,
    routes: [{ name: "batches", host: HOST, path_prefix: "/batches/", service: "desk", max_attempts: 4 }],
    services: [{ name: "desk" }],
    tenants: [{ name: "weavers", api_keys: ["key"] }],
};
const SIZE = { capacity: { cpu: 8_000, task_memory_mb: 8_192, gpus: 8 }, labels: ["a", "r1"] };

await runCase(fileURLToPath(new URL("record.txt", import.meta.url)), async ({ record, onEnd }) => {
    const events = [];
    const note = (what, details) => {
        events.push({ what, details });
        record.note(what, details);
    };
    const system = await startSystem({ config: CONFIG, machines: ["side-1", "side-2"] });
    onEnd(system.stop);
    const common = { service: "desk", zone: "a", note, ...SIZE };
    const executors = [
        await startExecutor({ ...common, id: "i-1", announcements: system.announcements[0] }),
        await startExecutor({ ...common, id: "i-2", announcements: system.announcements[1] }),
    ];
    executors.forEach(executor => onEnd(executor.crash));
    const requester = createRequester(system.requesters, "key", record.note, "requester");
    const steps = [{ count: 1, cpu: 8_000, task_memory_mb: 64, gpus: 8, estimated_ms: TASK_MS }];
    if (!await requester.submit(JOB, { task_spec: String(TASK_MS), steps })) {
        throw new Error("The job was not accepted.");
    }
    await waitUntil(() => events.some(({ what }) => what === "start"), "The first start");
    await sleep(3_000);
    const index = executors.findIndex(({ running }) => running.size > 0);
    if (HAS_TROUBLE) {
        const ping = {
            ...executors[index].heartbeat(),
            service: "other-desk",
            born: Date.now(),
            sequence: 1,
        };
        const { status } = await request(system.announcements[index], "/-/Instances.Heartbeat/x-9", {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: ping,
        });
        record.note("ping", `another writer, to the agent of ${executors[index].id}: ${JSON.stringify(ping)} -> ${status}`);
    }
    const until = performance.now() + 30_000;
    while (performance.now() < until && await requester.state(JOB) !== "completed") {
        await sleep(1_000);
    }
    return findOverlap(events);
});
