import { AgentFleet, withFleet } from "../agentFleet.js";
import { buildBody, planTeams, workerVms } from "../configurationBody.js";
import type { Measurement, RunOptions } from "../measurement.js";
import { eachSize } from "../measurement.js";
import { PLAN } from "../planSizes.js";
import { startTasks } from "../runningTasks.js";
import type { StretchUse } from "../stretch.js";
import { figuresOf, watch, watchedEntry } from "../stretch.js";
import type { Testbed, TestEntry } from "../testbed.js";
import { entryAt, loadConfiguration, submitJob, waitUntil, withTestbed } from "../testbed.js";

const SETTLE_MS = 6_000;
const TASKS_PER_VM = 5;

/** Real tasks run for hours, so hardly any of them reports within the measurement. */
const RUN_MS = 14_400_000;

const meanOf = (uses: readonly StretchUse[]): StretchUse => {
    const mean = (pick: (use: StretchUse) => number) => uses.reduce((sum, use) => sum + pick(use), 0) / uses.length;
    return {
        corePercent: mean(use => use.corePercent),
        residentMb: mean(use => use.residentMb),
        sentPerSecond: mean(use => use.sentPerSecond),
        receivedPerSecond: mean(use => use.receivedPerSecond),
    };
};

/** Use of the holder, and of the other entries on average. */
const watchRegion = async (bed: Testbed, prefix: string, stretchMs: number): Promise<Record<string, number>> => {
    const [holder, ...others] = await watch(bed.entries.map(watchedEntry), stretchMs);
    return {
        ...holder === undefined ? {} : figuresOf(`${prefix} holder`, holder),
        ...figuresOf(`${prefix} entry`, meanOf(others)),
    };
};

/** The entry that takes the role after the loss of the holder, and when. */
const nextHolder = (survivors: readonly TestEntry[]): Promise<{ readonly holder: TestEntry; readonly at: number; }> =>
    Promise.race(survivors.map(async holder => {
        await holder.process.waitForLine("event=role.acquired");
        return { holder, at: performance.now() };
    }));

const receivedFromPeers = ({ peersIn }: TestEntry): number =>
    peersIn.reduce((sum, { bytes }) => sum + bytes.toTarget, 0);

const measureRoleChange = async (
    bed: Testbed,
    fleet: AgentFleet,
    size: number,
    settle: RunOptions["settle"],
): Promise<Record<string, number>> => {
    const lostAt = performance.now();
    await entryAt(bed, 0).process.kill();
    const { holder, at } = await nextHolder(bed.entries.slice(1));
    const cpuBefore = holder.process.usage.cpuSeconds;
    const peersBefore = receivedFromPeers(holder);
    await submitJob(holder, { vms: 1, runMs: RUN_MS, key: "urgent", workClass: "urgent" });
    const fences = () => fleet.times("called", "task.fence", at);
    const starts = () => fleet.times("called", "task.start", at);
    await waitUntil(`the new fences of ${size} agents`, () => fences().length >= size);
    await waitUntil("the start of the urgent job", () => starts().length > 0);
    await settle(SETTLE_MS);
    return {
        "role taken after ms": at - lostAt,
        "all agents fenced after ms": (fences()[size - 1] ?? at) - at,
        "urgent job started after ms": (starts()[0] ?? at) - at,
        "fence messages": fences().length,
        "peers to new holder B": receivedFromPeers(holder) - peersBefore,
        "new holder cpu ms": (holder.process.usage.cpuSeconds - cpuBefore) * 1_000,
    };
};

/** A whole region up to the size to design for, and the loss of its holder. */
export const region: Measurement = {
    description: "five entries with agents at all of them, idle and with 5 long tasks a VM; then the holder is lost, "
        + "a new one fences all agents and starts an urgent job",
    sizeUnit: "worker in the region",
    sizes: [186, 465, 930],
    quickSizes: [5, 10, 15],
    run: eachSize((size, { settle, stretchMs }) =>
        withTestbed(PLAN.dataCentres, async bed => {
            const holder = entryAt(bed, 0);
            const vms = workerVms(size);
            await loadConfiguration(holder, buildBody(vms, planTeams(size)), 0);
            return withFleet(new AgentFleet(bed.deploymentKey, bed.addresses), async fleet => {
                fleet.start(vms);
                await waitUntil(`the fences of ${size} agents`, () => fleet.count("called", "task.fence") >= size);
                await settle(SETTLE_MS);
                const idle = await watchRegion(bed, "idle", stretchMs);
                await startTasks(holder, fleet, size, TASKS_PER_VM, RUN_MS);
                await settle(SETTLE_MS);
                const loaded = await watchRegion(bed, "loaded", stretchMs);
                return { ...idle, ...loaded, ...await measureRoleChange(bed, fleet, size, settle) };
            });
        })
    ),
};
