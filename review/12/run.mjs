// An executor runs a job away from its data, and another one joins on the rack of the data. A ping of another writer, whose
// service no config names, bears the address of the first.
import { fileURLToPath } from "node:url";
import { startExecutor } from "../shared-3/executor.mjs";
import { findOverlap } from "../shared-3/overlap.mjs";
import { createRequester, HOST, runCase, startSystem } from "../shared-3/system.mjs";
import { request, sleep, waitUntil } from "../shared-3/wire.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
/** Takes three times as long away from its data. */
const TASK_MS = 6_000;
const SPREAD_SLOWDOWN = 3;
const JOB = "/batches/00000000000000a1";
const CONFIG = {
    version: 1,
    routes: [{ name: "batches", host: HOST, path_prefix: "/batches/", service: "desk", max_attempts: 4 }],
    services: [{ name: "desk" }],
    tenants: [{ name: "weavers", api_keys: ["key"] }],
};
const CAPACITY = { cpu: 8_000, task_memory_mb: 8_192, gpus: 8 };

await runCase(fileURLToPath(new URL("record.txt", import.meta.url)), async ({ record, onEnd }) => {
    const events = [];
    const note = (what, details) => {
        events.push({ what, details });
        record.note(what, details);
    };
    const system = await startSystem({ config: CONFIG, machines: ["side-1", "side-2"] });
    onEnd(system.stop);
    const common = { service: "desk", zone: "a", capacity: CAPACITY, note };
    const first = await startExecutor({
        ...common,
        id: "i-1",
        labels: ["a", "r1"],
        announcements: system.announcements[0],
        slowdown: SPREAD_SLOWDOWN,
    });
    onEnd(first.crash);
    const requester = createRequester(system.requesters, "key", record.note, "requester");
    const steps = [{ count: 1, cpu: 8_000, task_memory_mb: 64, gpus: 8, estimated_ms: TASK_MS, data_rack: "r2" }];
    if (!await requester.submit(JOB, { task_spec: String(TASK_MS), steps })) {
        throw new Error("The job was not accepted.");
    }
    await waitUntil(() => events.some(({ what }) => what === "start"), "The first start");
    const second = await startExecutor({
        ...common,
        id: "i-2",
        labels: ["a", "r2"],
        announcements: system.announcements[1],
    });
    onEnd(second.crash);
    await sleep(3_000);
    if (HAS_TROUBLE) {
        const ping = {
            ...first.heartbeat(),
            service: "other-desk",
            born: Date.now(),
            sequence: 1,
        };
        const { status } = await request(system.announcements[0], "/-/Instances.Heartbeat/x-9", {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: ping,
        });
        record.note("ping", `another writer, to the agent of i-1: ${JSON.stringify(ping)} -> ${status}`);
    }
    const until = performance.now() + 30_000;
    while (performance.now() < until && await requester.state(JOB) !== "completed") {
        await sleep(1_000);
    }
    return findOverlap(events);
});
