import { systemClock } from "@persimmonpitch/clock/systemClock.js";
import { buildBody, workerVms } from "../configurationBody.js";
import type { Measurement } from "../measurement.js";
import { eachSize } from "../measurement.js";
import { entryAt, loadConfiguration, withTestbed } from "../testbed.js";

const SETTLE_MS = 2_000;
const VMS = 11;

/** What entries ask of the table when nothing happens. */
export const tableIdle: Measurement = {
    description: "calls that idle entries, one of them the holder, make to the table",
    sizeUnit: "entry",
    sizes: [1, 2, 4],
    quickSizes: [1, 2, 3],
    run: eachSize((size, { settle, stretchMs }) =>
        withTestbed(size, async bed => {
            await loadConfiguration(entryAt(bed, 0), buildBody(workerVms(VMS), 1), 0);
            await settle(SETTLE_MS);
            const before = { ...bed.table.counts };
            await systemClock.sleep(stretchMs);
            const perSecond = 1_000 / stretchMs;
            return {
                "reads/s": (bed.table.counts.reads - before.reads) * perSecond,
                "scans/s": (bed.table.counts.scans - before.scans) * perSecond,
                "writes/s": (bed.table.counts.writes - before.writes) * perSecond,
            };
        })
    ),
};
