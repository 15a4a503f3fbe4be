import { systemClock } from "@persimmonpitch/clock/systemClock.js";
import type { MemoryTable } from "@persimmonpitch/standins/memoryTable.js";
import { AgentFleet, withFleet } from "../agentFleet.js";
import { buildBody, workerVms } from "../configurationBody.js";
import type { Measurement } from "../measurement.js";
import { eachSize } from "../measurement.js";
import { entryAt, loadConfiguration, submitJob, waitUntil, withTestbed } from "../testbed.js";

const VMS = 4;
const RUN_MS = 500;
const SETTLE_MS = 2_000;

/** Every size is watched for the same time, so that the calls of an idle entry stay in the intercept. */
const WATCH_EXTRA_MS = 2_000;

const sizeOf = (table: MemoryTable) => {
    const rows = table.snapshot();
    return { rows: rows.length, bytes: Buffer.byteLength(JSON.stringify(rows)) };
};

/** What jobs from acceptance to their end cost at the table. */
export const tableJobs: Measurement = {
    description: "calls to the table, rows and bytes for jobs of one VM that run to their end",
    sizeUnit: "job",
    sizes: [5, 20, 60],
    quickSizes: [1, 2, 4],
    run: eachSize((size, { settle, stretchMs }) =>
        withTestbed(1, async bed => {
            const entry = entryAt(bed, 0);
            const vms = workerVms(VMS);
            await loadConfiguration(entry, buildBody(vms, 1), 0);
            return withFleet(new AgentFleet(bed.deploymentKey, bed.addresses), async fleet => {
                fleet.start(vms);
                await waitUntil("the fences", () => fleet.count("called", "task.fence") >= VMS);
                await settle(SETTLE_MS);
                const before = { ...bed.table.counts, ...sizeOf(bed.table) };
                const startedAt = performance.now();
                const endAt = startedAt + stretchMs + WATCH_EXTRA_MS;
                for (let job = 0; job < size; job += 1) {
                    await submitJob(entry, { vms: 1, runMs: RUN_MS, key: `job-${job}` });
                }
                await waitUntil(`the end of ${size} jobs`, () => !hasActiveJobs(bed.table));
                await systemClock.sleep(Math.max(0, endAt - performance.now()));
                const after = { ...bed.table.counts, ...sizeOf(bed.table) };
                return {
                    "watched s": (performance.now() - startedAt) / 1_000,
                    writes: after.writes - before.writes,
                    reads: after.reads - before.reads,
                    scans: after.scans - before.scans,
                    "rows kept": after.rows - before.rows,
                    "bytes kept": after.bytes - before.bytes,
                };
            });
        })
    ),
};

const hasActiveJobs = (table: MemoryTable): boolean => table.snapshot().some(({ key }) => key.startsWith("active/"));
