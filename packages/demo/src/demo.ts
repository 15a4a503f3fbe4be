import { systemClock } from "@persimmonpitch/clock/systemClock.js";
import { formatFindings } from "@persimmonpitch/findings/finding.js";
import { parseInventory } from "@persimmonpitch/inventory/parseInventory.js";
import { createLogger } from "@persimmonpitch/logging/logger.js";
import { directAnswerSchema } from "@persimmonpitch/schema/apiAnswers.js";
import type { JobRecord } from "@persimmonpitch/schema/job.js";
import { jobRecordSchema } from "@persimmonpitch/schema/job.js";
import { readFileSync } from "node:fs";
import { request } from "undici";
import { startDeployment } from "./deployment.js";

const INVENTORY = new URL("../../../../docs/examples/cooperative.toml", import.meta.url);
const SERVICE = "pattern-desk";
const TEAM = "festival";
/** Digests of these tokens stand in the example inventory. */
const TEAM_TOKEN = `example-token-${TEAM}`;
const RENDERS = 12;
const WAIT_MS = 30_000;
const READY_MS = 15_000;

interface Call {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly body?: unknown;
}

const print = (line: string): void => {
    process.stdout.write(`${line}\n`);
};

const call = async (url: string, { method, path, body }: Call): Promise<string> => {
    const headers = { authorization: `Bearer ${TEAM_TOKEN}`, "content-type": "application/json" };
    const content = body === undefined ? {} : { body: JSON.stringify(body) };
    const res = await request(`${url}${path}`, { method, headers, ...content });
    const text = await res.body.text();
    if (res.statusCode >= 400) {
        throw new Error(`${method} ${path} answered ${res.statusCode}: ${text}`);
    }
    return text;
};

const submit = async (url: string, job: object): Promise<JobRecord> =>
    jobRecordSchema.parse(JSON.parse(await call(url, { method: "POST", path: "/v1/jobs", body: job })));

const waitFor = async (url: string, { jobId }: JobRecord): Promise<JobRecord> => {
    const path = `/v1/jobs/${jobId}/wait?timeoutMs=${WAIT_MS}`;
    return jobRecordSchema.parse(JSON.parse(await call(url, { method: "GET", path })));
};

const render = async (url: string, index: number): Promise<string> => {
    const body = {
        workClass: "interactive",
        idempotent: true,
        requestKey: `render-${index}`,
        timeoutMs: READY_MS,
        body: JSON.stringify({ workMs: 30, answer: `template ${index}` }),
    };
    const path = `/v1/services/${SERVICE}/requests`;
    return directAnswerSchema.parse(JSON.parse(await call(url, { method: "POST", path, body }))).body;
};

/** Waits until executors have announced themselves. */
const waitUntilServed = async (url: string): Promise<void> => {
    const deadline = systemClock.now() + READY_MS;
    for (;;) {
        try {
            await render(url, 0);
            return;
        }
        catch (err) {
            if (systemClock.now() > deadline) {
                throw err;
            }
            await systemClock.sleep(100);
        }
    }
};

const runDemo = async (url: string): Promise<void> => {
    await waitUntilServed(url);
    const batch = await submit(url, {
        workClass: "batch",
        gang: { vms: 2, acceleratorsPerVm: 8, adjacency: "rack", coresPerVm: 16, memoryMbPerVm: 1_024 },
        declaredRunMs: 2_000,
        idempotent: false,
        checkpointable: true,
        requestKey: "overnight-batch",
        payload: JSON.stringify({ runMs: 2_000, result: "cut templates" }),
    });
    print(`batch     ${batch.jobId} ${batch.state}`);
    const preview = await submit(url, {
        workClass: "bestEffort",
        gang: { vms: 1, acceleratorsPerVm: 1 },
        declaredRunMs: 500,
        idempotent: true,
        requestKey: "glaze-preview",
        payload: JSON.stringify({ runMs: 500, result: "glaze preview" }),
    });
    print(`preview   ${preview.jobId} ${preview.state}`);
    const answers = await Promise.all(Array.from({ length: RENDERS }, (_, index) => render(url, index + 1)));
    answers.forEach((answer, index) => {
        print(`render    ${index + 1} answered: ${answer}`);
    });
    for (const [name, job] of Object.entries({ batch, preview })) {
        const ended = await waitFor(url, job);
        const members = ended.attempt?.members.map(({ vmId, accelerators }) => `${vmId}:${accelerators}`).join(" ")
            ?? "";
        print(`${name.padEnd(9)} ${ended.jobId} ${ended.state} on ${members}: ${ended.outcome?.result ?? ""}`);
        if (ended.state !== "finished") {
            throw new Error(`The ${name} job did not finish: ${ended.outcome?.detail ?? ended.state}`);
        }
    }
    // Records of direct requests are written in batches.
    await systemClock.sleep(1_000);
    print(`history of ${TEAM}:`);
    print(await call(url, { method: "GET", path: "/v1/history" }));
};

const inventory = parseInventory(readFileSync(INVENTORY, "utf8"), "cooperative.toml");
if (inventory.isErr) {
    throw new Error(formatFindings(inventory.error));
}
const { body } = inventory.value;
const [operator] = body.operators;
if (operator === undefined) {
    throw new Error("The inventory names no operator.");
}
const deployment = await startDeployment({ body, operator, logger: createLogger("warn") });
print(`Entry at ${deployment.url}, ${body.vms.length} VMs, ${body.teams.length} teams.`);
await runDemo(deployment.url);
await deployment.close();
print("All work ended and every process shut down.");
