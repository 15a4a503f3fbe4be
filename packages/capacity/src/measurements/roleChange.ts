import { systemClock } from "@persimmonpitch/clock/systemClock.js";
import { AgentFleet, withFleet } from "../agentFleet.js";
import { buildBody, planTeams, workerVms } from "../configurationBody.js";
import type { Measurement } from "../measurement.js";
import { eachSize } from "../measurement.js";
import { startTasks } from "../runningTasks.js";
import type { TestEntry } from "../testbed.js";
import { entryAt, loadConfiguration, submitJob, waitUntil, withTestbed } from "../testbed.js";

const SETTLE_MS = 4_000;
const TASKS_PER_VM = 5;
const RUN_MS = 3_600_000;

/** The entry that takes the role after the loss of the holder, and when. */
const nextHolder = async (survivors: readonly TestEntry[]): Promise<{ readonly id: string; readonly at: number; }> =>
    Promise.race(survivors.map(async ({ id, process }) => {
        await process.waitForLine("event=role.acquired");
        return { id, at: performance.now() };
    }));

/** Recovery by a new holder after the loss of the old one, with agents at all entries. */
export const roleChange: Measurement = {
    description: "a new holder after the loss of the old one: time to fence all agents, with 5 tasks a VM, "
        + "and to start an urgent job submitted when it takes the role",
    sizeUnit: "agent",
    sizes: [60, 186, 372],
    quickSizes: [3, 6, 9],
    run: eachSize(size =>
        withTestbed(3, async bed => {
            const old = entryAt(bed, 0);
            const vms = workerVms(size);
            await loadConfiguration(old, buildBody(vms, planTeams(size)), 0);
            return withFleet(new AgentFleet(bed.deploymentKey, bed.addresses), async fleet => {
                fleet.start(vms);
                await waitUntil(`the fences of ${size} agents`, () => fleet.count("called", "task.fence") >= size);
                await startTasks(old, fleet, size, TASKS_PER_VM, RUN_MS);
                await systemClock.sleep(SETTLE_MS);
                const survivors = bed.entries.slice(1);
                const lostAt = performance.now();
                await old.process.kill();
                const next = await nextHolder(survivors);
                const holder = survivors.find(({ id }) => id === next.id) ?? entryAt(bed, 1);
                const cpuBefore = holder.process.usage.cpuSeconds;
                const peersBefore = holder.peers.bytes.toTarget;
                await submitJob(holder, { vms: 1, runMs: RUN_MS, key: "urgent", workClass: "urgent" });
                const fences = () => fleet.times("called", "task.fence", next.at);
                const starts = () => fleet.times("called", "task.start", next.at);
                await waitUntil(`the new fences of ${size} agents`, () => fences().length >= size);
                await waitUntil("the start of the urgent job", () => starts().length > 0);
                await systemClock.sleep(SETTLE_MS);
                return {
                    "role taken after ms": next.at - lostAt,
                    "all agents fenced after ms": (fences().toSorted((a, b) => a - b)[size - 1] ?? 0) - next.at,
                    "urgent job started after ms": (starts()[0] ?? 0) - next.at,
                    "peers to holder B": holder.peers.bytes.toTarget - peersBefore,
                    "holder cpu ms": (holder.process.usage.cpuSeconds - cpuBefore) * 1_000,
                    "fence messages": fences().length,
                };
            });
        })
    ),
};
