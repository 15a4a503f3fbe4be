// Starts the programs of the deploy file on loopback with the settings of a small deployment.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { parse } from "smol-toml";
import { startStore } from "./store.mjs";
import { freePorts, request, sleep } from "./wire.mjs";

const READY_TIMEOUT_MS = 30_000;
const RETRY_MS = 50;
const ROOT = fileURLToPath(new URL("../..", import.meta.url));

/** The bounds of sites/hplmc-sched.toml. */
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

/** Where the bounds of sites/lentesud-pp.toml differ. */
export const LENTESUD_BOUNDS = {
    stopTimeoutMs: 900,
    reclaimMs: 3_400,
    checkpointIntervalSeconds: 0.5,
    restoreMs: 600,
};

export const HOST = "queues.example";

const toToml = settings =>
    Object.entries(settings)
        .map(([key, value]) =>
            typeof value === "object" ? `[${key}]\n${toToml(value)}` : `${key} = ${JSON.stringify(value)}`
        )
        .join("\n");

/** What was seen, with the milliseconds since the start of the case. */
export const createRecord = () => {
    const startedAt = performance.now();
    const lines = [];
    return {
        lines,
        note: (what, details) => {
            lines.push({ at: Math.round(performance.now() - startedAt), what, details });
        },
        write: file => {
            const text = lines.map(({ at, what, details }) =>
                `${String(at).padStart(6)} ms  ${what}  ${typeof details === "string" ? details : JSON.stringify(details)}`
            );
            writeFileSync(file, `${text.join("\n")}\n`);
        },
    };
};

/** Programs that ended without being told to, for example because another process took a port first. */
const exits = [];

/** Starts the store, one entry, and one agent for each name in `machines`. */
export const startSystem = async ({ config, machines, bounds = {} }) => {
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const deployment = parse(readFileSync(join(ROOT, "deploy/system.toml"), "utf8"));
    const children = [];
    let isStopping = false;
    const store = await startStore([["op", "config", JSON.stringify(config)]]);
    const startProgram = (role, name, settings) => {
        const file = join(folder, `${name}.toml`);
        writeFileSync(file, toToml(settings));
        const [command, ...args] = deployment.roles[role].run.split(" ");
        const child = spawn(command === "node" ? process.execPath : command, args, {
            cwd: ROOT,
            env: { ...process.env, PERSIMMONPITCH_CONFIG: file },
            stdio: ["ignore", "ignore", "inherit"],
        });
        child.once("exit", code => {
            if (!isStopping) {
                exits.push(`${name} ended by itself with ${code}`);
            }
        });
        children.push({ child, ended: new Promise(resolve => child.once("exit", resolve)) });
    };
    const [requestersPort, readinessPort, innerPort, ...agentPorts] = await freePorts(3 + 2 * machines.length);
    const requesters = `127.0.0.1:${requestersPort}`;
    const readiness = `127.0.0.1:${readinessPort}`;
    const common = { dataCentre: "a", host: "127.0.0.1", store: store.address };
    startProgram("entry", "entry-1", {
        vm: "entry-1",
        ...common,
        innerPort,
        requesters,
        readiness,
        heartbeatMs: 1_500,
        bounds: { ...BOUNDS, ...bounds },
    });
    const announcements = machines.map((vm, index) => {
        const address = `127.0.0.1:${agentPorts[2 * index]}`;
        startProgram("agent", vm, { vm, ...common, innerPort: agentPorts[2 * index + 1], announcements: address });
        return address;
    });
    const until = performance.now() + READY_TIMEOUT_MS;
    while ((await request(readiness, "/-/readiness")).status !== 200) {
        if (performance.now() > until) {
            throw new Error("The entry did not become ready.");
        }
        await sleep(RETRY_MS);
    }
    return {
        requesters,
        announcements,
        stop: async () => {
            isStopping = true;
            children.forEach(({ child }) => {
                child.kill("SIGTERM");
            });
            const isEnded = await Promise.race([
                Promise.all(children.map(({ ended }) => ended)).then(() => true),
                sleep(8_000).then(() => false),
            ]);
            if (!isEnded) {
                children.forEach(({ child }) => {
                    child.kill("SIGKILL");
                });
            }
            store.close();
            rmSync(folder, { recursive: true, force: true });
        },
    };
};

/** Makes the calls of one requester and notes each with its answer. */
export const createRequester = (address, key, note, name) => {
    const call = async (method, path, body) => {
        const answer = await request(address, path, {
            method,
            headers: {
                host: HOST,
                ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
                "content-type": "application/json",
            },
            body,
        });
        note("call", `${name}: ${method} ${path} -> ${answer.status} ${answer.text}`);
        return answer;
    };
    return {
        call,
        /** Repeats a submission until it is accepted, as a requester does. */
        submit: async (path, body, timeoutMs = 10_000) => {
            const until = performance.now() + timeoutMs;
            while (performance.now() < until) {
                const { status } = await call("POST", path, body);
                if (status >= 200 && status < 300) {
                    return true;
                }
                await sleep(500);
            }
            return false;
        },
        state: async path => {
            const { status, text } = await call("GET", path);
            return status === 200 ? JSON.parse(text).state : String(status);
        },
    };
};

/**
 * Runs a case and ends the process with its result: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 * `play` returns the sentence that says what broke the rule, or undefined.
 */
export const runCase = async (recordFile, play) => {
    const record = createRecord();
    const cleanups = [];
    let code = 2;
    let result;
    try {
        const broken = await play({ record, onEnd: cleanup => cleanups.unshift(cleanup) });
        result = broken === undefined ? "the rule held" : `the rule was broken: ${broken}`;
        code = broken === undefined ? 0 : 1;
        if (exits.length > 0) {
            throw new Error(exits.join(", "));
        }
    }
    catch (error) {
        code = 2;
        result = `the case could not run: ${error instanceof Error ? error.message : String(error)}`;
    }
    record.note("result", result);
    for (const cleanup of cleanups) {
        await cleanup();
    }
    record.write(recordFile);
    process.stdout.write(`${result}\n`);
    process.exit(code);
};
