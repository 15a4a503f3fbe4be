import { AgentFleet, withFleet } from "../agentFleet.js";
import { buildBody, planTeams, workerVms } from "../configurationBody.js";
import type { Measurement } from "../measurement.js";
import { eachSize } from "../measurement.js";
import { peakPerSecond } from "../peak.js";
import { entryAt, loadConfiguration, waitUntil, withTestbed } from "../testbed.js";

const SETTLE_MS = 2_000;
const TAIL_MS = 3_000;

/** Loss of the entry that all agents prefer, while another remains. */
export const reconnection: Measurement = {
    description: "agents of one entry that start at once, and that move to a surviving entry after its loss",
    sizeUnit: "agent",
    sizes: [20, 60, 186],
    quickSizes: [2, 4, 6],
    run: eachSize((size, { settle }) =>
        withTestbed(2, async bed => {
            const survivor = entryAt(bed, 0);
            const lost = entryAt(bed, 1);
            const vms = workerVms(size);
            await loadConfiguration(survivor, buildBody(vms, planTeams(size)), 0);
            // Agents prefer an entry of their own data centre, so all of them begin at the one that will be lost.
            const addresses = bed.addresses.map(address =>
                address.id === lost.id ? address : { ...address, dataCentre: "south" }
            );
            return withFleet(new AgentFleet(bed.deploymentKey, addresses), async fleet => {
                const beforeStart = lost.process.usage.cpuSeconds;
                fleet.start(vms);
                await waitUntil(`the fences of ${size} agents`, () => fleet.count("called", "task.fence") >= size);
                await settle(SETTLE_MS);
                const startCpu = lost.process.usage.cpuSeconds - beforeStart;
                const before = survivor.process.usage.cpuSeconds;
                const lostAt = performance.now();
                await lost.process.kill();
                const moved = () => fleet.times("connected", survivor.id, lostAt);
                await waitUntil(`the move of ${size} agents`, () => moved().length >= size);
                await settle(TAIL_MS);
                return {
                    "peak connections/s at start": peakPerSecond(fleet.times("connected", lost.id)),
                    "entry cpu ms at start": startCpu * 1_000,
                    "peak connections/s after loss": peakPerSecond(moved()),
                    "last agent moved after ms": Math.max(...moved()) - lostAt,
                    "attempts after loss": fleet.times("attempted", undefined, lostAt).length,
                    "survivor cpu ms": (survivor.process.usage.cpuSeconds - before) * 1_000,
                };
            });
        })
    ),
};
