import { systemClock } from "@persimmonpitch/clock/systemClock.js";
import { AgentFleet } from "../agentFleet.js";
import { buildBody, workerVm } from "../configurationBody.js";
import type { Measurement, Point, RunOptions } from "../measurement.js";
import { PLAN } from "../planSizes.js";
import { startTasks } from "../runningTasks.js";
import type { WatchedProcess } from "../stretch.js";
import { figuresOf, watch } from "../stretch.js";
import type { TestEntry } from "../testbed.js";
import { loadConfiguration, startTestbed, waitUntil } from "../testbed.js";

const SETTLE_MS = 4_000;
const TASKS_PER_VM = 5;

/** A task reports its progress every 10 s. */
const BUSY_RUN_MS = 100_000;

const watched = (entry: TestEntry, other: TestEntry, hasAgents: boolean): WatchedProcess => ({
    process: entry.process,
    asTarget: hasAgents ? [entry.agents, entry.peers] : [entry.peers],
    asClient: [other.peers, entry.table],
});

const measure = async (size: number, { stretchMs }: RunOptions): Promise<Point> => {
    const vms = Array.from({ length: size }, (_, index) => workerVm(index));
    const bed = await startTestbed(2);
    const [holder, entry] = bed.entries;
    if (holder === undefined || entry === undefined) {
        throw new Error("The testbed lacks entries.");
    }
    const fleet = new AgentFleet(bed.deploymentKey, bed.addresses.filter(({ id }) => id === entry.id));
    try {
        const teams = Math.max(1, Math.round(size * PLAN.teams / PLAN.workers));
        await loadConfiguration(holder, buildBody(vms, teams), 0);
        fleet.start(vms);
        await waitUntil(`the fences of ${size} agents`, () => fleet.count("called", "task.fence") >= size);
        await systemClock.sleep(SETTLE_MS);
        const processes = [watched(holder, entry, false), watched(entry, holder, true)];
        const table = entry.table.bytes;
        const peer = holder.peers.bytes;
        const idle = await watch(processes, stretchMs);
        const seconds = stretchMs / 1_000;
        const tableRead = (entry.table.bytes.fromTarget - table.fromTarget) / seconds;
        const peerSent = (holder.peers.bytes.toTarget - peer.toTarget) / seconds;
        await startTasks(holder, fleet, size, TASKS_PER_VM, BUSY_RUN_MS);
        await systemClock.sleep(SETTLE_MS);
        const busyPeer = holder.peers.bytes;
        const busy = await watch(processes, stretchMs);
        const busyPeerSent = (holder.peers.bytes.toTarget - busyPeer.toTarget) / seconds;
        const figures = [...idle, ...busy].map((use, index) =>
            figuresOf(`${index < 2 ? "idle" : "busy"} ${index % 2 === 0 ? "holder" : "entry"}`, use)
        );
        return {
            size,
            values: Object.assign(
                {
                    "idle entry read from table B/s": tableRead,
                    "idle entry sent to holder B/s": peerSent,
                    "busy entry sent to holder B/s": busyPeerSent,
                },
                ...figures,
            ) as Record<string, number>,
        };
    }
    finally {
        await fleet.kill();
        await bed.close();
    }
};

/** An entry with agents, and the holder of the role at another entry, idle and with report traffic. */
export const entryAgents: Measurement = {
    description: "an entry with agents that reports to a holder without agents; busy: 5 tasks a VM, each reported "
        + "every 10 s; the configuration grows with the agents",
    sizeUnit: "agents",
    sizes: [10, 60, 186],
    quickSizes: [2, 4, 6],
    run: async options => {
        const points: Point[] = [];
        for (const size of options.sizes) {
            points.push(await measure(size, options));
        }
        return points;
    },
};
