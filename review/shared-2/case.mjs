// Runs one case: starts the store, entries and agents, calls the body of the case, ends everything, and exits with 1 if
// the rule was broken, 0 if it held and 2 if the case could not run.
import { join } from "node:path";
import { createDeployment, waitFor, ZONE } from "./deployment.mjs";
import { startExecutor } from "./executor.mjs";
import { call } from "./http.mjs";
import { openRecord } from "./recorder.mjs";
import { startStore } from "./store.mjs";

const LIMIT_MS = 110_000;
const START_MS = 20_000;

/** Thrown where a case cannot show anything, for example because the system did not start. */
export class CannotRun extends Error {}

export const isTrouble = process.env.TROUBLE !== "0";

/** Host of all routes, key of the one tenant and name of the one service. */
const HOST = "queues.example";
const KEY = "key-weavers";
const SERVICE = "desk";

/** A config with these routes; `settings` are further fields of each route. */
export const configOf = (names, settings = {}) => ({
    routes: names.map(name => ({
        name,
        host: HOST,
        path_prefix: `/${name}/`,
        service: SERVICE,
        priority: 1,
        max_attempts: 4,
        slack_factor: 3,
        target_latency_ms: 1_000,
        ...settings,
    })),
    services: [{ name: SERVICE, max_connections: 64 }],
    limits: { max_body_bytes: 262_144 },
    tenants: [{ name: "weavers", api_keys: [KEY] }],
});

/** A job of one step. */
export const jobOf = (spec, step) => ({
    task_spec: JSON.stringify(spec),
    steps: [{ count: 1, ...step, ...(spec.workMs === undefined ? {} : { estimated_ms: spec.workMs }) }],
});

/** Names of machines: `side-1`, `side-2` and so on. */
export const machines = (name, count) => Array.from({ length: count }, (_, index) => `${name}-${index + 1}`);

const MACHINES_PER_RACK = 3;

const prepare = async ({ entries, agents, config, record }) => {
    const store = await startStore();
    let version = 0;
    /** Writes a config as the operator does; the store's answer is the ack. */
    const configure = next => {
        version += 1;
        store.write("op", "config", { version, ...next });
        record.note("config acknowledged", { version, routes: next.routes.map(({ name }) => name) });
    };
    configure(config);
    const deployment = createDeployment({ store: store.address, note: record.note });
    const startAll = (names, role) => Promise.all(names.map(name => deployment.start(name, role)));
    const started = {
        entries: await startAll(entries, "entry"),
        agents: await startAll(agents, "agent"),
    };
    let turn = 0;
    /** Sends a call of a requester to the entries in turn. */
    const request = async (method, path, body) => {
        turn += 1;
        const { name, frontend } = started.entries[turn % started.entries.length];
        const headers = { host: HOST, "x-deadline-ms": "3000", authorization: `Bearer ${KEY}` };
        const answer = await call(frontend, method, path, { headers, body });
        record.note("call", { entry: name, method, path, body, status: answer.status, answer: answer.body });
        return answer;
    };
    /** Hands a job in; the case cannot run if it is not accepted at once, as nothing disturbs the system then. */
    const submit = async (path, job) => {
        const { status } = await request("POST", path, job);
        if (status !== 200) {
            throw new CannotRun(`The job ${path} was not accepted.`);
        }
    };
    const stateOf = async path => (await request("GET", path)).body?.state;
    return { configure, deployment, submit, stateOf, close: store.close, ...started };
};

/** Runs the case and ends this process. `body` returns whether the rule held. */
export const runCase = async ({ folder, entries, agents, config, body }) => {
    const record = openRecord(join(folder, "record.txt"));
    record.note(isTrouble ? "with the disruption" : "without the disruption");
    const watchdog = new AbortController();
    const timer = setTimeout(() => {
        watchdog.abort();
    }, LIMIT_MS);
    const overdue = new Promise((_, reject) => {
        watchdog.signal.addEventListener("abort", () => reject(new CannotRun("The case took too long.")));
    });
    /** All executors that were started, to be ended at last. */
    const executors = [];
    /**
     * Starts an executor on the machine of that index and waits until its agent has acknowledged a ping; an executor of a
     * given id may be started again.
     */
    const startOn = async (index, { id = `i-${index + 1}`, onEvent }) => {
        const rack = `r${1 + Math.floor(index / MACHINES_PER_RACK)}`;
        const options = { id, agent: platform.agents[index].control, service: SERVICE, zone: ZONE, rack, onEvent };
        const executor = await startExecutor(options);
        executors.push(executor);
        if (!await waitFor(async () => await executor.deliver(executor.nextPing()) === 200, START_MS)) {
            throw new CannotRun("An agent did not acknowledge a ping.");
        }
        return executor;
    };
    let platform;
    let code = 2;
    try {
        platform = await prepare({ entries, agents, config, record });
        const { deployment } = platform;
        const areReady = async () => (await Promise.all(platform.entries.map(deployment.isReady))).every(Boolean);
        if (!await waitFor(areReady, START_MS)) {
            throw new CannotRun("The entries were not ready in time.");
        }
        record.note("entries are ready");
        const held = await Promise.race([body({ ...platform, record, startOn }), overdue]);
        code = held ? 0 : 1;
        record.note(held ? "the rule held" : "the rule was broken");
    }
    catch (err) {
        record.note("the case could not run", { reason: err instanceof Error ? err.message : String(err) });
    }
    clearTimeout(timer);
    executors.forEach(({ kill }) => {
        kill();
    });
    await platform?.deployment.end();
    platform?.close();
    record.close();
    process.exit(code);
};
