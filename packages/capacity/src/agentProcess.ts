import { systemClock } from "@persimmonpitch/clock/systemClock.js";
import { deriveProcessKey } from "@persimmonpitch/protocol/processKey.js";
import type { InventoryVm } from "@persimmonpitch/schema/configuration.js";
import { startExecutorServer } from "@persimmonpitch/standins/executorServer.js";
import { MemoryExecutor } from "@persimmonpitch/standins/memoryExecutor.js";
import { MemoryWorker } from "@persimmonpitch/standins/memoryWorker.js";
import type { RunningServer } from "@persimmonpitch/standins/server.js";
import { startWorkerServer } from "@persimmonpitch/standins/workerServer.js";
import { BinaryProcess } from "./binaryProcess.js";
import { CountingRelay } from "./countingRelay.js";
import type { WatchedProcess } from "./stretch.js";
import type { Testbed } from "./testbed.js";
import { toToml } from "./toml.js";

/** An agent process beside a stand-in of its endpoint, connected to all entries of a testbed through relays. */
export interface AgentProcess {
    readonly watched: WatchedProcess;
    close(): Promise<void>;
}

const LOOPBACK = "127.0.0.1";

const STAND_INS: { readonly [Kind in InventoryVm["kind"]]: (vm: InventoryVm) => Promise<RunningServer>; } = {
    worker: ({ id, accelerators }) => startWorkerServer(new MemoryWorker(systemClock, { vmId: id, accelerators })),
    executor: ({ id }) => startExecutorServer(new MemoryExecutor(systemClock, id)),
};

/** Starts an agent process and waits until it is connected. */
export const startAgentProcess = async (bed: Testbed, vm: InventoryVm): Promise<AgentProcess> => {
    const endpoint = await STAND_INS[vm.kind](vm);
    const relays = await Promise.all(bed.entries.map(({ agents }) => CountingRelay.listen(agents.port)));
    const { id: vmId, rack, dataCentre, kind, service, accelerators, cores, memoryMb } = vm;
    const named = service === undefined ? {} : { service };
    const settings = [
        toToml({
            ...{ vmId, rack, dataCentre, kind, accelerators, cores, memoryMb, ...named },
            endpointUrl: endpoint.url,
            processKey: deriveProcessKey(bed.deploymentKey, vmId).toString("hex"),
        }),
        ...relays.map(({ port }, index) =>
            `[[entries]]\n${toToml({ id: bed.entries[index]?.id ?? "", host: LOOPBACK, port, dataCentre })}`
        ),
    ].join("\n");
    const process = BinaryProcess.start("persimmonpitch-agent", settings);
    await process.waitForLine("event=entry.connected");
    return {
        watched: { process, asTarget: [], asClient: relays },
        close: async () => {
            await process.kill();
            relays.forEach(relay => {
                relay.close();
            });
            await endpoint.close();
        },
    };
};
