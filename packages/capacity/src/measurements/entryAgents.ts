import { AgentFleet, withFleet } from "../agentFleet.js";
import { buildBody, planTeams, workerVms } from "../configurationBody.js";
import type { Measurement } from "../measurement.js";
import { eachSize } from "../measurement.js";
import { startTasks } from "../runningTasks.js";
import { figuresOf, watch, watchedEntry } from "../stretch.js";
import type { TestEntry } from "../testbed.js";
import { entryAt, loadConfiguration, waitUntil, withTestbed } from "../testbed.js";

const SETTLE_MS = 4_000;
const TASKS_PER_VM = 5;

/** A task reports its progress every 10 s. */
const BUSY_RUN_MS = 100_000;

const watchBoth = async (
    prefix: string,
    holder: TestEntry,
    entry: TestEntry,
    stretchMs: number,
): Promise<Record<string, number>> => {
    const [toHolder] = holder.peersIn;
    const peerBefore = toHolder?.bytes.toTarget ?? 0;
    const tableBefore = entry.table.bytes.fromTarget;
    const uses = await watch([holder, entry].map(watchedEntry), stretchMs);
    const perSecond = 1_000 / stretchMs;
    const [ofHolder, ofEntry] = uses;
    return {
        ...ofHolder === undefined ? {} : figuresOf(`${prefix} holder`, ofHolder),
        ...ofEntry === undefined ? {} : figuresOf(`${prefix} entry`, ofEntry),
        [`${prefix} entry to holder B/s`]: ((toHolder?.bytes.toTarget ?? 0) - peerBefore) * perSecond,
        [`${prefix} table to entry B/s`]: (entry.table.bytes.fromTarget - tableBefore) * perSecond,
    };
};

/** An entry with agents, and the holder of the role at another entry, idle and with report traffic. */
export const entryAgents: Measurement = {
    description: "an entry with agents that reports to a holder without agents, idle and with 5 tasks a VM that each "
        + "report every 10 s; the configuration grows with the agents",
    sizeUnit: "agent",
    sizes: [10, 60, 186],
    quickSizes: [2, 4, 6],
    run: eachSize((size, { settle, stretchMs }) =>
        withTestbed(2, async bed => {
            const holder = entryAt(bed, 0);
            const entry = entryAt(bed, 1);
            const vms = workerVms(size);
            await loadConfiguration(holder, buildBody(vms, planTeams(size)), 0);
            const addresses = bed.addresses.filter(({ id }) => id === entry.id);
            return withFleet(new AgentFleet(bed.deploymentKey, addresses), async fleet => {
                fleet.start(vms);
                await waitUntil(`the fences of ${size} agents`, () => fleet.count("called", "task.fence") >= size);
                await settle(SETTLE_MS);
                const idle = await watchBoth("idle", holder, entry, stretchMs);
                await startTasks(holder, fleet, size, TASKS_PER_VM, BUSY_RUN_MS);
                await settle(SETTLE_MS);
                const busy = await watchBoth("busy", holder, entry, stretchMs);
                return { ...idle, ...busy };
            });
        })
    ),
};
