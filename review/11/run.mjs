// An executor at work is cut off from the agent of its machine for 5 s. During the cut connections to it are refused.
import { fileURLToPath } from "node:url";
import { startExecutor } from "../shared-3/executor.mjs";
import { findOverlap } from "../shared-3/overlap.mjs";
import { startProxy } from "../shared-3/proxy.mjs";
import { createRequester, HOST, runCase, startSystem } from "../shared-3/system.mjs";
import { sleep, waitUntil } from "../shared-3/wire.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const TASK_MS = 9_000;
const CUT_MS = 5_000;
const JOB = "/batches/00000000000000e1";
const CONFIG = {
    version: 1,
    routes: [{ name: "batches", host: HOST, path_prefix: "/batches/", service: "desk", max_attempts: 4 }],
    services: [{ name: "desk" }],
    tenants: [{ name: "weavers", api_keys: ["key"] }],
};

await runCase(fileURLToPath(new URL("record.txt", import.meta.url)), async ({ record, onEnd }) => {
    const events = [];
    const note = (what, details) => {
        events.push({ what, details });
        record.note(what, details);
    };
    const machines = ["side-1", "side-2", "side-3", "side-4", "side-5", "side-6"];
    const system = await startSystem({ config: CONFIG, machines });
    onEnd(system.stop);
    const links = [];
    for (const [index, announcements] of system.announcements.entries()) {
        const link = { isCut: false, address: undefined };
        link.proxy = await startProxy(() => link.address);
        link.executor = await startExecutor({
            id: `i-${index + 1}`,
            service: "desk",
            zone: "a",
            labels: ["a", "r1"],
            capacity: { cpu: 8_000, task_memory_mb: 8_192, gpus: 8 },
            announcements,
            note,
            announcedAddress: address => {
                link.address = address;
                return link.proxy.address;
            },
            isCut: () => link.isCut,
        });
        onEnd(link.executor.crash);
        onEnd(link.proxy.close);
        links.push(link);
    }
    const requester = createRequester(system.requesters, "key", record.note, "requester");
    const steps = [{ count: 1, cpu: 1_000, task_memory_mb: 64, gpus: 1, estimated_ms: TASK_MS }];
    if (!await requester.submit(JOB, { task_spec: String(TASK_MS), steps })) {
        throw new Error("The job was not accepted.");
    }
    await waitUntil(() => events.some(({ what }) => what === "start"), "The first start");
    await sleep(2_000);
    const link = links.find(({ executor }) => executor.running.size > 0);
    if (HAS_TROUBLE) {
        link.isCut = true;
        link.proxy.cut();
        record.note("cut", `${link.executor.id} from the agent of its machine; connections are refused`);
        await sleep(CUT_MS);
        await link.proxy.heal();
        link.isCut = false;
        record.note("healed", link.executor.id);
    }
    const until = performance.now() + 30_000;
    while (performance.now() < until && await requester.state(JOB) !== "completed") {
        await sleep(1_000);
    }
    return findOverlap(events);
});
