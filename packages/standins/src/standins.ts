import type { Clock } from "@persimmonpitch/clock/clock.js";
import { startExecutorServer } from "./executorServer.js";
import { MemoryExecutor } from "./memoryExecutor.js";
import { MemoryObjectStore } from "./memoryObjectStore.js";
import { MemoryTable } from "./memoryTable.js";
import { MemoryWorker } from "./memoryWorker.js";
import { startObjectStoreServer } from "./objectStoreServer.js";
import type { RunningServer } from "./server.js";
import type { StandinsSettings } from "./standinsSettings.js";
import { startTableServer } from "./tableServer.js";
import { startWorkerServer } from "./workerServer.js";

/** One stand-in that listens. */
export interface Standin {
    /** `table`, `objectStore`, or the id of a VM. */
    readonly name: string;
    readonly server: RunningServer;
}

/** Starts all stand-ins; when one cannot listen, those already started are closed again. */
export const startStandins = async (clock: Clock, settings: StandinsSettings): Promise<readonly Standin[]> => {
    const standins: Standin[] = [];
    try {
        for (const { name, start } of standinStarts(clock, settings)) {
            standins.push({ name, server: await start() });
        }
        return standins;
    }
    catch (error) {
        await closeStandins(standins);
        throw error;
    }
};

/** Answers what is in progress and closes. */
export const closeStandins = async (standins: readonly Standin[]): Promise<void> => {
    await Promise.all(standins.map(({ server }) => server.close()));
};

interface StandinStart {
    readonly name: string;
    readonly start: () => Promise<RunningServer>;
}

const standinStarts = (clock: Clock, settings: StandinsSettings): readonly StandinStart[] => {
    const { tablePort, objectStorePort, workers, executors } = settings;
    return [
        { name: "table", start: () => startTableServer(new MemoryTable(clock), { port: tablePort }) },
        {
            name: "objectStore",
            start: () => startObjectStoreServer(new MemoryObjectStore(clock), { port: objectStorePort }),
        },
        ...endpointStarts("worker", workers, (vmId, port) => {
            const worker = new MemoryWorker(clock, { vmId, accelerators: workers.accelerators });
            return startWorkerServer(worker, { port });
        }),
        ...endpointStarts(
            "executor",
            executors,
            (vmId, port) => startExecutorServer(new MemoryExecutor(clock, vmId), { port }),
        ),
    ];
};

const endpointStarts = (
    kind: string,
    { count, firstPort }: StandinsSettings["executors"],
    start: (vmId: string, port: number) => Promise<RunningServer>,
): readonly StandinStart[] =>
    Array.from({ length: count }, (unused, index) => {
        const name = `${kind}-${index + 1}`;
        return { name, start: () => start(name, firstPort === 0 ? 0 : firstPort + index) };
    });
