// Runs the bundled programs through one job on loopback. The build does so to write the code caches, and checkStart.mjs
// to see that the bundles serve and what their start costs.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import * as http from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { parse } from "smol-toml";
import { freePorts, startExecutor, startStore } from "./loopbackPlatform.mjs";

const TIMEOUT_MS = 30_000;
const RETRY_MS = 20;
const HEARTBEAT_MS = 200;

const CONFIG = {
    version: 1,
    routes: [{ name: "batches", host: "queues.example", path_prefix: "/batches/", service: "desk" }],
    services: [{ name: "desk" }],
    tenants: [{ name: "weavers", api_keys: ["key"] }],
};
const JOB_PATH = "/batches/00000000000000a1";
const JOB = { task_spec: "spec", steps: [{ count: 1, cpu: 1_000, task_memory_mb: 64, gpus: 1, estimated_ms: 50 }] };
const QUEUE_HEADERS = { host: "queues.example", authorization: "Bearer key", "content-type": "application/json" };

const BOUNDS = {
    maxLeaseMs: 10_000,
    stopTimeoutMs: 400,
    gangTimeoutMs: 3_000,
    reclaimMs: 2_900,
    drainTimeoutMs: 2_000,
    checkpointIntervalSeconds: 1,
    restoreMs: 250,
    spreadSlowdown: 3,
    paceMs: 100,
    disruptionMs: 4_000,
    statusRetentionSeconds: 120,
};

const toToml = settings =>
    Object.entries(settings)
        .map(([key, value]) =>
            typeof value === "object" ? `[${key}]\n${toToml(value)}` : `${key} = ${JSON.stringify(value)}`
        )
        .join("\n");

const settingsOf = async store => {
    const [requesters, readiness, announcements, entryPort, agentPort] = await freePorts(5);
    const common = { vm: "vm-1", dataCentre: "a", host: "127.0.0.1", store };
    const local = port => `127.0.0.1:${port}`;
    return {
        entry: {
            ...common,
            innerPort: entryPort,
            requesters: local(requesters),
            readiness: local(readiness),
            heartbeatMs: 1_500,
            bounds: BOUNDS,
        },
        agent: { ...common, innerPort: agentPort, announcements: local(announcements) },
    };
};

const request = (address, path, method, headers, body) =>
    new Promise(resolve => {
        const req = http.request(`http://${address}${path}`, { method, headers, agent: false }, res => {
            let text = "";
            res.on("data", chunk => {
                text += chunk;
            });
            res.once("end", () => {
                resolve({ status: res.statusCode, text });
            });
        });
        req.once("error", () => {
            resolve({ status: 0, text: "" });
        });
        req.end(body === undefined ? undefined : JSON.stringify(body));
    });

const isServed = ({ status }) => status === 200;
const isCompleted = ({ status, text }) => status === 200 && JSON.parse(text).state === "completed";

/** Calls `attempt` until its response is accepted. */
const retry = async (attempt, signal, isAccepted = isServed) => {
    while (!isAccepted(await attempt())) {
        if (signal.aborted) {
            throw new Error("The programs did not serve a job in time.");
        }
        await new Promise(resolve => {
            setTimeout(resolve, RETRY_MS);
        });
    }
};

/** The command of a role after the runtime's name, as the deployment file has it. */
const commandOf = role => {
    const deployment = parse(readFileSync(new URL("../deploy/system.toml", import.meta.url), "utf8"));
    return deployment.roles[role].run.split(" ").slice(1);
};

/** Starts a program with its settings in a file of `folder`. */
const startProgram = (role, { folder, settings, env, nodeArgs }) => {
    const file = join(folder, `${role}.toml`);
    writeFileSync(file, toToml(settings));
    const child = spawn(process.execPath, [...nodeArgs, ...commandOf(role)], {
        cwd: fileURLToPath(new URL("..", import.meta.url)),
        env: { ...process.env, ...env, PERSIMMONPITCH_CONFIG: file },
        stdio: ["ignore", "ignore", "inherit"],
    });
    return { child, ended: new Promise(resolve => child.once("exit", resolve)) };
};

/**
 * Starts both programs, submits a job and waits until it has completed. `onServing` is called with each program as soon
 * as it serves: the entry is ready, the agent has accepted a heartbeat.
 */
export const playJob = async ({ env = {}, nodeArgs = [], onServing = () => undefined }) => {
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const store = await startStore([["op", "config", JSON.stringify(CONFIG)]]);
    const executor = await startExecutor();
    const settings = await settingsOf(store.address);
    const folder = mkdtempSync(join(tmpdir(), "persimmonpitch-"));
    const entry = startProgram("entry", { folder, settings: settings.entry, env, nodeArgs });
    const agent = startProgram("agent", { folder, settings: settings.agent, env, nodeArgs });
    let sequence = 0;
    const sendHeartbeat = () =>
        request(settings.agent.announcements, "/-/Instances.Heartbeat/i-1", "POST", {
            "content-type": "application/json",
        }, {
            service: "desk",
            address: executor.address,
            zone: "a",
            state: "ready",
            sequence: sequence++,
            born: executor.born,
            clock_ms: executor.clock(),
            capacity: { cpu: 8_000, task_memory_mb: 8_192, gpus: 8 },
            labels: ["a", "r1"],
        });
    const queue = (method, path, body) => request(settings.entry.requesters, path, method, QUEUE_HEADERS, body);
    const heartbeats = setInterval(() => void sendHeartbeat(), HEARTBEAT_MS);
    try {
        await Promise.all([
            retry(sendHeartbeat, signal).then(() => onServing("agent", agent.child)),
            retry(() => request(settings.entry.readiness, "/-/readiness", "GET", {}), signal)
                .then(() => onServing("entry", entry.child)),
        ]);
        await retry(() => queue("POST", JOB_PATH, JOB), signal);
        await retry(() => queue("GET", JOB_PATH), signal, isCompleted);
    }
    finally {
        clearInterval(heartbeats);
        entry.child.kill("SIGTERM");
        agent.child.kill("SIGTERM");
        await Promise.all([entry.ended, agent.ended]);
        store.close();
        executor.close();
        rmSync(folder, { recursive: true });
    }
};
