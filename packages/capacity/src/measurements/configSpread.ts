import { AgentFleet, withFleet } from "../agentFleet.js";
import { buildBody, planTeams, workerVms } from "../configurationBody.js";
import { bytesBetween } from "../countingRelay.js";
import type { Measurement } from "../measurement.js";
import { eachSize } from "../measurement.js";
import { entryAt, loadConfiguration, waitUntil, withTestbed } from "../testbed.js";

const SETTLE_MS = 2_000;

/** Time after the last push in which late answers and repeated pushes are counted too. */
const TAIL_MS = 1_000;

/** Spread of one change from another entry to the agents of one entry. */
export const configSpread: Measurement = {
    description: "one configuration change, loaded at one entry, to agents connected to another",
    sizeUnit: "agent",
    sizes: [10, 60, 186],
    quickSizes: [2, 4, 6],
    run: eachSize((size, { settle }) =>
        withTestbed(2, async bed => {
            const entry = entryAt(bed, 1);
            const vms = workerVms(size);
            const body = buildBody(vms, planTeams(size));
            await loadConfiguration(entryAt(bed, 0), body, 0);
            const addresses = bed.addresses.filter(({ id }) => id === entry.id);
            return withFleet(new AgentFleet(bed.deploymentKey, addresses), async fleet => {
                fleet.start(vms);
                await waitUntil(`the fences of ${size} agents`, () => fleet.count("called", "task.fence") >= size);
                await settle(SETTLE_MS);
                const agents = entry.agents.bytes;
                const table = entry.table.bytes;
                const usage = entry.process.usage.cpuSeconds;
                const startedAt = performance.now();
                const pushes = () => fleet.times("called", "config.changed", startedAt);
                await loadConfiguration(entryAt(bed, 0), { ...body, drained: ["worker-0"] }, 1);
                await waitUntil(`the change at ${size} agents`, () => pushes().length >= size);
                await settle(TAIL_MS);
                return {
                    "messages to agents": pushes().length,
                    "last agent told after ms": Math.max(...pushes()) - startedAt,
                    "entry to agents B": bytesBetween(agents, entry.agents.bytes).fromTarget,
                    "table to entry B": bytesBetween(table, entry.table.bytes).fromTarget,
                    "entry cpu ms": (entry.process.usage.cpuSeconds - usage) * 1_000,
                    "configuration B": Buffer.byteLength(JSON.stringify(body)),
                };
            });
        })
    ),
};
