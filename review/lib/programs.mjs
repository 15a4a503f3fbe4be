// The project's programs as separate processes, with the commands of deploy/system.toml and settings on loopback.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { call, freePorts } from "./http.mjs";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));

/** The bounds of the site hplmc-sched, as deploy/entry.toml passes them on. */
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

const commandOf = role => {
    const deployFile = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const section = deployFile.split(`[roles.${role}]`)[1] ?? "";
    return /^run = "(.*)"$/m.exec(section)[1].split(" ");
};

const LIMIT_MS = 116_000;
const children = new Set();

// Whatever ends a script, the programs end with it.
process.once("exit", () => {
    children.forEach(child => {
        child.kill("SIGKILL");
    });
});
for (const name of ["SIGTERM", "SIGINT", "SIGHUP"]) {
    process.once(name, () => {
        process.exit(2);
    });
}
setTimeout(() => {
    process.stdout.write("COULD NOT RUN: the case took too long.\n");
    process.exit(2);
}, LIMIT_MS).unref();

/** One program with its settings file; it can be killed and started again. */
export class Program {
    child = undefined;

    constructor(role, settings, folder, record) {
        Object.assign(this, { role, settings, folder, record, file: join(folder, `${settings.vm}.toml`) });
        writeFileSync(this.file, toToml(settings));
    }

    start() {
        const [command, ...args] = commandOf(this.role);
        const child = spawn(command === "node" ? process.execPath : command, args, {
            cwd: ROOT,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, PERSIMMONPITCH_CONFIG: this.file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.child = child;
        children.add(child);
        this.ended = new Promise(resolve => child.once("exit", (code, signal) => {
            children.delete(child);
            this.record.write("process ended", { vm: this.settings.vm, code, signal });
            resolve();
        }));
        this.record.write("process started", { vm: this.settings.vm });
        for (const stream of [child.stdout, child.stderr]) {
            stream.setEncoding("utf8").on("data", text => {
                text.split("\n").filter(Boolean).forEach(line => {
                    this.record.write("log", { vm: this.settings.vm, line: line.slice(0, 300) });
                });
            });
        }
    }

    signal(name) {
        this.record.write("signal", { vm: this.settings.vm, signal: name });
        this.child.kill(name);
    }

    async end() {
        if (this.child?.exitCode === null && this.child.signalCode === null) {
            this.child.kill("SIGKILL");
            await this.ended;
        }
    }
}

/** Settings of entries and agents on loopback, and their programs, not started yet. */
export const createPrograms = async ({ storeAddress, entries, agents, record, agentSettings = {} }) => {
    const folder = mkdtempSync(join(tmpdir(), "persimmonpitch-review-"));
    const ports = await freePorts(3 * entries + 2 * agents);
    const local = () => `127.0.0.1:${ports.pop()}`;
    const common = vm => ({ vm, dataCentre: "a", host: "127.0.0.1", store: storeAddress });
    const entryPrograms = Array.from({ length: entries }, (_, index) =>
        new Program("entry", {
            ...common(`entry-${index + 1}`),
            innerPort: ports.pop(),
            requesters: local(),
            readiness: local(),
            processorShare: 0.675,
            coreSpeed: 1,
            heartbeatMs: 1_500,
            bounds: BOUNDS,
        }, folder, record));
    const agentPrograms = Array.from({ length: agents }, (_, index) =>
        new Program("agent", {
            ...common(`side-${index + 1}`),
            innerPort: ports.pop(),
            announcements: local(),
            ...agentSettings,
        }, folder, record));
    return {
        entries: entryPrograms,
        agents: agentPrograms,
        end: async () => {
            await Promise.all([...entryPrograms, ...agentPrograms].map(program => program.end()));
            rmSync(folder, { recursive: true });
        },
    };
};

export const sleep = ms =>
    new Promise(resolve => {
        setTimeout(resolve, ms);
    });

/** Waits until `isTrue` holds, and returns whether it did in time. */
export const waitFor = async (isTrue, timeoutMs, intervalMs = 50) => {
    const until = performance.now() + timeoutMs;
    while (!await isTrue()) {
        if (performance.now() > until) {
            return false;
        }
        await sleep(intervalMs);
    }
    return true;
};

/** Whether an entry reports that it is ready. */
export const isReady = async entry =>
    (await call(entry.settings.readiness, "GET", "/-/readiness", { timeoutMs: 500 })).status === 200;

export const HOST = "queues.example";
const PREFIX = "/previews/";

/** The operator's first config: one queue, one service, one tenant. */
export const CONFIG = {
    version: 1,
    routes: [{
        name: "previews",
        host: HOST,
        path_prefix: PREFIX,
        kind: "unsafe",
        timeout_ms: 3_000,
        target_latency_ms: 3_000,
        priority: 2,
        service: "pattern-desk",
        max_attempts: 4,
        slack_factor: 3,
        public: false,
    }],
    services: [{ name: "pattern-desk", max_connections: 64, enforces_capacity: false }],
    limits: { max_body_bytes: 262_144 },
    tenants: [{ name: "weavers", api_keys: ["key-1"], guaranteed: { gpus: 0 } }],
};

/** A requester: it records what it sends and what is answered. */
export const createRequester = record => {
    const headers = { host: HOST, authorization: "Bearer key-1" };
    const send = async (entry, method, id, body) => {
        record.write("request", {
            to: entry.settings.vm,
            method,
            id,
            ...(body === undefined ? {} : { steps: body.steps, repetitions: body.repetitions }),
        });
        const answer = await call(entry.settings.requesters, method, `${PREFIX}${id}`, { headers, body });
        record.write("answer", { to: entry.settings.vm, method, id, status: answer.status, body: answer.text });
        return answer;
    };
    return {
        submit: (entry, id, body) => send(entry, "POST", id, body),
        cancel: (entry, id) => send(entry, "DELETE", id),
        stateOf: async (entry, id) => {
            const { status, text } = await send(entry, "GET", id);
            return status === 200 ? JSON.parse(text).state : `HTTP ${status}`;
        },
    };
};

/** Prints the verdict and returns the exit code: 0 the rule held, 1 it was broken, 2 the case couldn't run. */
export const verdict = (record, code, text) => {
    const name = { 0: "HELD", 1: "BROKEN", 2: "COULD NOT RUN" }[code];
    record.write("verdict", { code, name, text });
    record.close();
    process.stdout.write(`${name}: ${text}\n`);
    process.exitCode = code;
};
