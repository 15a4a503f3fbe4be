import type { EntryAddress } from "@persimmonpitch/agent/agentSettings.js";
import { systemClock } from "@persimmonpitch/clock/systemClock.js";
import type { ConfigurationBody } from "@persimmonpitch/schema/configuration.js";
import { MemoryTable } from "@persimmonpitch/standins/memoryTable.js";
import type { RunningServer } from "@persimmonpitch/standins/server.js";
import { startTableServer } from "@persimmonpitch/standins/tableServer.js";
import { randomBytes } from "node:crypto";
import { request } from "undici";
import { BinaryProcess, fieldOf } from "./binaryProcess.js";
import { OPERATOR, OPERATOR_TOKEN, teamToken } from "./configurationBody.js";
import { CountingRelay } from "./countingRelay.js";
import { toToml } from "./toml.js";

/** An entry process with relays on all its connections. */
export interface TestEntry {
    readonly id: string;
    readonly process: BinaryProcess;
    readonly url: string;
    /** Between agents and this entry. */
    readonly agents: CountingRelay;
    /** Calls of the other entries to this one, one relay for each. */
    readonly peersIn: readonly CountingRelay[];
    /** Calls of this entry to the other ones. */
    readonly peersOut: readonly CountingRelay[];
    /** Between this entry and the table. */
    readonly table: CountingRelay;
}

/** Entry processes with a table in this process. */
export interface Testbed {
    readonly deploymentKey: Buffer;
    readonly table: MemoryTable;
    readonly entries: readonly TestEntry[];
    /** What agents connect to: the relays before the entries. */
    readonly addresses: readonly EntryAddress[];
    close(): Promise<void>;
}

const LOOPBACK = "127.0.0.1";
const REGION = "one";
const DATA_CENTRE = "north";
const KEY_BYTES = 32;
const POLL_MS = 50;

const entryId = (index: number): string => `entry-${index}`;

/** A relay for the calls of one entry to another. */
interface PeerRelay {
    readonly from: number;
    readonly to: number;
    readonly relay: CountingRelay;
}

const listenForPeers = (entryCount: number): Promise<readonly PeerRelay[]> => {
    const indexes = Array.from({ length: entryCount }, (_, index) => index);
    const pairs = indexes.flatMap(from => indexes.filter(to => to !== from).map(to => ({ from, to })));
    return Promise.all(pairs.map(async pair => ({ ...pair, relay: await CountingRelay.listen() })));
};

const entryToml = (
    index: number,
    tablePort: number,
    peers: readonly PeerRelay[],
    deploymentKey: Buffer,
): string => {
    const listen = toToml({ host: LOOPBACK, port: 0 });
    const sections = peers.filter(({ from }) => from === index)
        .map(({ to, relay }) => `[[peers]]\n${toToml({ id: entryId(to), host: LOOPBACK, port: relay.port })}`);
    return [
        toToml({
            id: entryId(index),
            region: REGION,
            dataCentre: DATA_CENTRE,
            tableUrl: `http://${LOOPBACK}:${tablePort}`,
            deploymentKey: deploymentKey.toString("hex"),
        }),
        `[http]\n${listen}`,
        `[inner]\n${listen}`,
        `[bootstrapOperator]\n${toToml(OPERATOR)}`,
        ...sections,
    ].join("\n");
};

const startEntry = async (
    index: number,
    tableServer: RunningServer,
    peerRelays: readonly PeerRelay[],
    deploymentKey: Buffer,
): Promise<TestEntry> => {
    const table = await CountingRelay.listen(Number(new URL(tableServer.url).port));
    const settings = entryToml(index, table.port, peerRelays, deploymentKey);
    const process = BinaryProcess.start("persimmonpitch-entry", settings);
    const started = await process.waitForLine("event=entry.started");
    const innerPort = Number(fieldOf(started, "innerPort"));
    const peersIn = peerRelays.filter(({ to }) => to === index).map(({ relay }) => relay);
    const peersOut = peerRelays.filter(({ from }) => from === index).map(({ relay }) => relay);
    peersIn.forEach(relay => {
        relay.targetPort = innerPort;
    });
    const agents = await CountingRelay.listen(innerPort);
    return { id: entryId(index), process, url: fieldOf(started, "http"), agents, peersIn, peersOut, table };
};

/** Starts a table and entries; the first entry takes the scheduling role. */
export const startTestbed = async (entryCount: number): Promise<Testbed> => {
    const deploymentKey = randomBytes(KEY_BYTES);
    const table = new MemoryTable(systemClock);
    const tableServer = await startTableServer(table);
    const peerRelays = await listenForPeers(entryCount);
    const entries: TestEntry[] = [];
    for (let index = 0; index < entryCount; index += 1) {
        const entry = await startEntry(index, tableServer, peerRelays, deploymentKey);
        entries.push(entry);
        if (index === 0) {
            await entry.process.waitForLine("event=role.acquired");
        }
    }
    return {
        deploymentKey,
        table,
        entries,
        addresses: entries.map(({ id, agents }) => ({
            id,
            host: LOOPBACK,
            port: agents.port,
            dataCentre: DATA_CENTRE,
        })),
        close: async () => {
            await Promise.all(entries.map(({ process }) => process.kill()));
            entries.flatMap(({ agents, peersIn, table: relay }) => [agents, ...peersIn, relay]).forEach(relay => {
                relay.close();
            });
            await tableServer.close();
        },
    };
};

interface Call {
    readonly method: "GET" | "POST" | "PUT";
    readonly path: string;
    readonly token: string;
    readonly body?: unknown;
    readonly ifMatch?: number;
}

/** Calls an entry's HTTP API; a problem throws. */
export const callEntry = async ({ url }: TestEntry, { method, path, token, body, ifMatch }: Call): Promise<unknown> => {
    const headers = {
        authorization: `Bearer ${token}`,
        ...body === undefined ? {} : { "content-type": "application/json" },
        ...ifMatch === undefined ? {} : { "if-match": `"${ifMatch}"` },
    };
    const content = body === undefined ? {} : { body: JSON.stringify(body) };
    const res = await request(`${url}${path}`, { method, headers, ...content });
    const text = await res.body.text();
    if (res.statusCode >= 400) {
        throw new Error(`${method} ${path} answered ${res.statusCode}: ${text}`);
    }
    return JSON.parse(text);
};

/** Loads a configuration over a version through one entry. */
export const loadConfiguration = async (entry: TestEntry, body: ConfigurationBody, over: number): Promise<void> => {
    await callEntry(entry, { method: "PUT", path: "/v1/admin/config", token: OPERATOR_TOKEN, body, ifMatch: over });
};

/** A job of one accelerator on each of so many VMs. */
export interface TestJob {
    readonly vms: number;
    readonly runMs: number;
    readonly key: string;
    readonly workClass?: "urgent" | "batch";
}

/** Submits a job of the first team. */
export const submitJob = (entry: TestEntry, { vms, runMs, key, workClass = "batch" }: TestJob): Promise<unknown> =>
    callEntry(entry, {
        method: "POST",
        path: "/v1/jobs",
        token: teamToken(0),
        body: {
            workClass,
            gang: { vms, acceleratorsPerVm: 1, coresPerVm: 1, memoryMbPerVm: 64 },
            declaredRunMs: runMs,
            idempotent: true,
            requestKey: key,
            payload: JSON.stringify({ runMs }),
        },
    });

/** Waits until a condition holds; a timeout throws with what was waited for. */
export const waitUntil = async (what: string, holds: () => boolean, timeoutMs = 60_000): Promise<void> => {
    const deadline = performance.now() + timeoutMs;
    while (!holds()) {
        if (performance.now() > deadline) {
            throw new Error(`${what} did not happen within ${timeoutMs} ms`);
        }
        await systemClock.sleep(POLL_MS);
    }
};

/** The entry of a position, which must exist. */
export const entryAt = ({ entries }: Testbed, index: number): TestEntry => {
    const entry = entries[index];
    if (entry === undefined) {
        throw new Error(`The testbed has no entry ${index}.`);
    }
    return entry;
};

/** Runs with a testbed of so many entries and ends its processes afterwards. */
export const withTestbed = async <T>(entryCount: number, use: (bed: Testbed) => Promise<T>): Promise<T> => {
    const bed = await startTestbed(entryCount);
    try {
        return await use(bed);
    }
    finally {
        await bed.close();
    }
};
