import { deriveProcessKey } from "@persimmonpitch/protocol/processKey.js";
import { directAnswerSchema } from "@persimmonpitch/schema/apiAnswers.js";
import { jobRecordSchema } from "@persimmonpitch/schema/job.js";
import type { ChildProcess } from "node:child_process";
import { execFile, spawn } from "node:child_process";
import { createHash, randomBytes } from "node:crypto";
import { once } from "node:events";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import t from "tap";
import { request } from "undici";

const BINARIES = fileURLToPath(new URL("../../../../dist/bin/", import.meta.url));
const LOOPBACK = "127.0.0.1";
const WORKERS = 3;
const WAIT_MS = 60_000;
const DEPLOYMENT_KEY = randomBytes(32);
const TOKENS = { team: "token-of-the-team", operator: "token-of-the-operator" };
const folder = mkdtempSync(join(tmpdir(), "persimmonpitch-"));
const children = new Set<ChildProcess>();

const digest = (token: string) => createHash("sha256").update(token).digest("hex");

const freePort = async (): Promise<number> => {
    const server = createServer().listen(0, LOOPBACK);
    await once(server, "listening");
    const address = server.address();
    server.close();
    return typeof address === "object" && address !== null ? address.port : 0;
};

const settingsFile = (name: string, text: string): string => {
    const file = join(folder, `${name}.toml`);
    writeFileSync(file, text);
    return file;
};

const start = (binary: string, name: string, settings: string): ChildProcess => {
    const child = spawn(process.execPath, [`${BINARIES}${binary}.mjs`, "--settings", settingsFile(name, settings)], {
        stdio: ["ignore", "pipe", "pipe"],
    });
    children.add(child);
    child.once("exit", () => children.delete(child));
    return child;
};

/** Reads lines of a child until one gives a value. */
const readUntil = async <T>(stream: ChildProcess["stdout"], find: (line: string) => T | undefined): Promise<T> => {
    if (stream === null) {
        throw new Error("The child has no output.");
    }
    const lines = createInterface({ input: stream });
    for await (const line of lines) {
        const found = find(line);
        if (found !== undefined) {
            stream.resume();
            return found;
        }
    }
    throw new Error("The child ended too early.");
};

const startStandins = async (): Promise<ReadonlyMap<string, string>> => {
    const child = start(
        "persimmonpitch-standins",
        "standins",
        `[workers]\ncount = ${WORKERS}\n[executors]\ncount = 1\n`,
    );
    const urls = new Map<string, string>();
    return readUntil(child.stdout, line => {
        const [name, url] = line.split(" ");
        urls.set(name ?? "", url ?? "");
        return urls.size === WORKERS + 3 ? urls : undefined;
    });
};

interface EntryProcess {
    readonly id: string;
    readonly child: ChildProcess;
    readonly url: string;
}

const startEntry = async (id: string, ports: ReadonlyMap<string, number>, tableUrl: string): Promise<EntryProcess> => {
    const peers = [...ports].filter(([other]) => other !== id).map(([other, port]) =>
        `[[peers]]\nid = "${other}"\nhost = "${LOOPBACK}"\nport = ${port}\n`
    );
    const child = start(
        "persimmonpitch-entry",
        id,
        `
id = "${id}"
region = "local"
dataCentre = "east"
http = { host = "${LOOPBACK}", port = 0 }
inner = { host = "${LOOPBACK}", port = ${ports.get(id) ?? 0} }
tableUrl = "${tableUrl}"
deploymentKey = "${DEPLOYMENT_KEY.toString("hex")}"
bootstrapOperator = { id = "ops", tokenSha256 = "${digest(TOKENS.operator)}" }
${peers.join("\n")}`,
    );
    const url = await readUntil(child.stderr, line => /event=entry\.started.* http=(\S+)/.exec(line)?.[1]);
    return { id, child, url };
};

const startAgent = (
    vmId: string,
    kind: "worker" | "executor",
    endpointUrl: string,
    ports: ReadonlyMap<string, number>,
) => start(
    "persimmonpitch-agent",
    vmId,
    `
vmId = "${vmId}"
rack = "rack-1"
dataCentre = "east"
kind = "${kind}"
${kind === "executor" ? "service = \"sorting\"" : "accelerators = 8"}
cores = 32
memoryMb = 65536
endpointUrl = "${endpointUrl}"
processKey = "${deriveProcessKey(DEPLOYMENT_KEY, vmId).toString("hex")}"
${
        [...ports].map(([id, port]) =>
            `[[entries]]\nid = "${id}"\nhost = "${LOOPBACK}"\nport = ${port}\ndataCentre = "east"\n`
        ).join("\n")
    }`,
);

const INVENTORY = `
[[rack]]
id = "rack-1"
dataCentre = "east"
kind = "worker"
cores = 32
memoryMb = 65536
accelerators = 8
vms = ["worker-1", "worker-2", "worker-3"]

[[rack]]
id = "rack-1"
dataCentre = "east"
kind = "executor"
service = "sorting"
cores = 32
memoryMb = 65536
accelerators = 0
vms = ["executor-1"]

[[team]]
id = "readers"
tokenSha256 = "${digest(TOKENS.team)}"

[[operator]]
id = "ops"
tokenSha256 = "${digest(TOKENS.operator)}"
`;

const runCli = async (token: string, urls: readonly string[], ...args: string[]) => {
    const entries = urls.map(url => `"${url}"`).join(", ");
    const settings = settingsFile("cli", `entries = [${entries}]\ntoken = "${token}"\n`);
    const { stdout } = await promisify(execFile)(process.execPath, [
        `${BINARIES}persimmonpitch.mjs`,
        ...args,
        "--settings",
        settings,
    ]);
    return stdout;
};

const post = async (url: string, path: string, body: object): Promise<{ status: number; body: unknown; }> => {
    const res = await request(`${url}${path}`, {
        method: "POST",
        headers: { authorization: `Bearer ${TOKENS.team}`, "content-type": "application/json" },
        body: JSON.stringify(body),
    });
    return { status: res.statusCode, body: await res.body.json() };
};

const submit = async (url: string, key: string, vms: number, runMs: number): Promise<string> => {
    const { status, body } = await post(url, "/v1/jobs", {
        workClass: "batch",
        gang: { vms, acceleratorsPerVm: 4 },
        declaredRunMs: runMs,
        idempotent: true,
        requestKey: key,
        payload: JSON.stringify({ runMs, result: key }),
    });
    t.equal(status, 202, `${key} is accepted`);
    return jobRecordSchema.parse(body).jobId;
};

const requestOnce = (url: string, key: string, workMs: number) =>
    post(url, "/v1/services/sorting/requests", {
        workClass: "interactive",
        idempotent: true,
        requestKey: key,
        timeoutMs: 20_000,
        body: JSON.stringify({ workMs, answer: key }),
    });

/** Repeats a step until it succeeds; real processes need some time to find each other. */
const eventually = async <T>(step: () => Promise<T | undefined>): Promise<T> => {
    const deadline = Date.now() + WAIT_MS;
    for (;;) {
        const value = await step().catch(() => undefined);
        if (value !== undefined) {
            return value;
        }
        if (Date.now() > deadline) {
            throw new Error("The expected state did not come.");
        }
        await delay(200);
    }
};

const jobState = async (url: string, jobId: string): Promise<string> => {
    const res = await request(`${url}/v1/jobs/${jobId}`, { headers: { authorization: `Bearer ${TOKENS.team}` } });
    return jobRecordSchema.parse(await res.body.json()).state;
};

t.teardown(() => {
    children.forEach(child => {
        child.kill("SIGCONT");
        child.kill("SIGKILL");
    });
});

// Guards against jobs or records that are lost when real processes are killed, frozen or shut down under load.
void t.test("jobs and history survive killed, frozen and leaving processes", { timeout: 170_000 }, async t => {
    const standins = await startStandins();
    const ports = new Map([["entry-1", await freePort()], ["entry-2", await freePort()]]);
    const tableUrl = standins.get("table") ?? "";
    const first = await startEntry("entry-1", ports, tableUrl);
    const second = await startEntry("entry-2", ports, tableUrl);
    const urls = [first.url, second.url];
    const inventory = settingsFile("inventory", INVENTORY);
    t.match(await runCli(TOKENS.operator, urls, "load", inventory), /version 1/i, "the inventory is loaded");
    const workers = Array.from({ length: WORKERS }, (_, index) => `worker-${index + 1}`);
    const agents = workers.map(vmId => startAgent(vmId, "worker", standins.get(vmId) ?? "", ports));
    startAgent("executor-1", "executor", standins.get("executor-1") ?? "", ports);
    await eventually(async () => (await requestOnce(second.url, "ready", 10)).status === 200 ? true : undefined);

    const jobIds = [
        await submit(first.url, "gang", 2, 20_000),
        await submit(second.url, "single-1", 1, 4_000),
        await submit(second.url, "single-2", 1, 12_000),
    ];
    await eventually(async () => await jobState(second.url, jobIds[0] ?? "") === "running" ? true : undefined);

    first.child.kill("SIGKILL");
    agents[2]?.kill("SIGSTOP");
    await delay(2_000);
    agents[2]?.kill("SIGCONT");
    const ended = await Promise.all(
        jobIds.map(jobId =>
            eventually(async () => await jobState(second.url, jobId) === "finished" ? "finished" : undefined)
        ),
    );
    t.same(ended, ["finished", "finished", "finished"], "all jobs finish after the holder was killed");

    const inProgress = Array.from({ length: 5 }, (_, index) => requestOnce(second.url, `late-${index}`, 1_500));
    await delay(500);
    const exited = once(second.child, "exit");
    second.child.kill("SIGTERM");
    const answers = await Promise.all(inProgress);
    t.same(
        answers.map(({ status, body }) => [status, directAnswerSchema.parse(body).body]),
        [0, 1, 2, 3, 4].map(index => [200, `late-${index}`]),
        "a shutdown cuts off no request in progress",
    );
    t.same(await exited, [0, null], "the entry exits with code 0");

    const third = await startEntry("entry-1", ports, tableUrl);
    const output = join(folder, "history.ndjson");
    await eventually(() => runCli(TOKENS.team, [third.url], "export", "--output", output));
    t.match(await runCli(TOKENS.team, [third.url], "verify", output), /complete/, "the exported history is complete");
    const told = [...answers.map((_, index) => `late-${index}`), "ready", "gang", "single-1", "single-2"];
    const history = readFileSync(output, "utf8");
    const missing = told.filter(key => !history.includes(`"requestKey":"${key}"`));
    t.same(missing, [], "the history holds every request that a caller was told of");
});
