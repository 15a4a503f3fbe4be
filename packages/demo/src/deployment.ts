import { Agent } from "@persimmonpitch/agent/agent.js";
import { HttpExecutor } from "@persimmonpitch/backing/httpExecutor.js";
import { HttpTable } from "@persimmonpitch/backing/httpTable.js";
import { HttpWorker } from "@persimmonpitch/backing/httpWorker.js";
import { systemClock } from "@persimmonpitch/clock/systemClock.js";
import { Entry } from "@persimmonpitch/entry/entry.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import { deriveProcessKey } from "@persimmonpitch/protocol/processKey.js";
import { connectTls, listenTls } from "@persimmonpitch/protocol/tlsTransport.js";
import type { ConfigurationBody, InventoryVm, Operator } from "@persimmonpitch/schema/configuration.js";
import { startExecutorServer } from "@persimmonpitch/standins/executorServer.js";
import { MemoryExecutor } from "@persimmonpitch/standins/memoryExecutor.js";
import { MemoryTable } from "@persimmonpitch/standins/memoryTable.js";
import { MemoryWorker } from "@persimmonpitch/standins/memoryWorker.js";
import type { RunningServer } from "@persimmonpitch/standins/server.js";
import { startTableServer } from "@persimmonpitch/standins/tableServer.js";
import { startWorkerServer } from "@persimmonpitch/standins/workerServer.js";
import { randomBytes } from "node:crypto";

/** What runs in the deployment. */
export interface DeploymentOptions {
    readonly body: ConfigurationBody;
    readonly operator: Operator;
    readonly logger: Logger;
}

/** A whole deployment on loopback in this process. */
export interface Deployment {
    /** Base URL of the entry's HTTP API. */
    readonly url: string;
    /** Shuts everything down gracefully. */
    close(): Promise<void>;
}

const LOOPBACK = "127.0.0.1";
const REGION = "local";
const ENTRY_ID = "entry-1";
const TIMEOUT_MS = 2_000;
const DEPLOYMENT_KEY_BYTES = 32;

interface RunningAgent {
    readonly agent: Agent;
    readonly ran: Promise<void>;
    readonly server: RunningServer;
}

const startAgent = async (
    vm: InventoryVm,
    entryPort: number,
    deploymentKey: Buffer,
    logger: Logger,
): Promise<RunningAgent> => {
    const server = await STAND_INS[vm.kind](vm);
    const endpoint = { baseUrl: server.url, clock: systemClock, timeoutMs: TIMEOUT_MS };
    const { id: vmId, rack, dataCentre, kind, service, accelerators, cores, memoryMb } = vm;
    const entries = [{ id: ENTRY_ID, host: LOOPBACK, port: entryPort, dataCentre }];
    const agent = new Agent({
        settings: { vmId, rack, dataCentre, kind, service, accelerators, cores, memoryMb, entries },
        clock: systemClock,
        logger: logger.with({ vm: vmId }),
        worker: new HttpWorker(endpoint),
        executor: new HttpExecutor(endpoint),
        openLink: address => connectTls(address, vmId, deriveProcessKey(deploymentKey, vmId)),
    });
    return { agent, server, ran: agent.run() };
};

const STAND_INS: { readonly [Kind in InventoryVm["kind"]]: (vm: InventoryVm) => Promise<RunningServer>; } = {
    worker: ({ id, accelerators }) => startWorkerServer(new MemoryWorker(systemClock, { vmId: id, accelerators })),
    executor: ({ id }) => startExecutorServer(new MemoryExecutor(systemClock, id)),
};

/** Starts the stand-ins, one entry, and an agent for each VM of the configuration, and loads the configuration. */
export const startDeployment = async ({ body, operator, logger }: DeploymentOptions): Promise<Deployment> => {
    const deploymentKey = randomBytes(DEPLOYMENT_KEY_BYTES);
    const tableServer = await startTableServer(new MemoryTable(systemClock));
    const table = new HttpTable({ baseUrl: tableServer.url, clock: systemClock, timeoutMs: TIMEOUT_MS });
    const dataCentre = body.vms[0]?.dataCentre ?? REGION;
    const entry = new Entry({
        settings: { id: ENTRY_ID, region: REGION, dataCentre, peers: [], bootstrapOperator: operator },
        clock: systemClock,
        logger: logger.with({ entry: ENTRY_ID }),
        table,
        openPeerLink: address => connectTls(address, ENTRY_ID, deriveProcessKey(deploymentKey, ENTRY_ID)),
    });
    const inner = await listenTls({ host: LOOPBACK, port: 0 }, deploymentKey, ({ link, peerName }) => {
        entry.serveConnection(link, peerName);
    });
    const url = await entry.http.listen({ host: LOOPBACK, port: 0 });
    const ran = entry.run();
    (await entry.configStore.load(body, 0, operator.id)).unwrapOrElse(err => {
        throw new Error(`The configuration was not loaded: ${err.kind}.`);
    });
    const agents = await Promise.all(body.vms.map(vm => startAgent(vm, inner.port, deploymentKey, logger)));
    return {
        url,
        close: async () => {
            await Promise.all(agents.map(async ({ agent, ran: agentRan }) => {
                await agent.shutdown();
                await agentRan;
            }));
            inner.server.close();
            await entry.shutdown();
            await ran;
            await Promise.all(agents.map(({ server }) => server.close()));
            await table.close();
            await tableServer.close();
        },
    };
};
