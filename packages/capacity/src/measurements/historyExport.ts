import { systemClock } from "@persimmonpitch/clock/systemClock.js";
import { exportHistory } from "@persimmonpitch/history/exportHistory.js";
import { collectGarbage } from "../collectGarbage.js";
import { GeneratedHistory } from "../generatedHistory.js";
import type { Measurement } from "../measurement.js";
import { eachSize } from "../measurement.js";

const TEAM = "team-0";
const SAMPLES = 10;
const BYTES_PER_MB = 1_048_576;

/** Memory of an export that is streamed from a table whose rows are made on demand. */
export const historyExport: Measurement = {
    description: "a streamed export of one team's history; the heap is read after a collection at every tenth",
    sizeUnit: "record",
    sizes: [2_000, 50_000, 200_000],
    quickSizes: [100, 200, 400],
    runsAlone: true,
    run: eachSize(async size => {
        const table = new GeneratedHistory(TEAM, size);
        const before = collectGarbage();
        const cpuBefore = process.cpuUsage();
        let peak = 0;
        let lines = 0;
        let bytes = 0;
        for await (const line of exportHistory({ table, clock: systemClock, team: TEAM })) {
            lines += 1;
            bytes += line.length;
            if (lines % Math.ceil(size / SAMPLES) === 0) {
                peak = Math.max(peak, collectGarbage() - before);
            }
        }
        const { user, system } = process.cpuUsage(cpuBefore);
        return {
            "heap MB more": peak / BYTES_PER_MB,
            "exported MB": bytes / BYTES_PER_MB,
            "cpu ms": (user + system) / 1_000,
            "lines without the manifest": lines - 1,
        };
    }),
};
