import { systemClock } from "@persimmonpitch/clock/systemClock.js";
import { historyRowSchema } from "@persimmonpitch/history/historyRow.js";
import type { MemoryTable } from "@persimmonpitch/standins/memoryTable.js";
import { AgentFleet, withFleet } from "../agentFleet.js";
import { buildBody, executorVm } from "../configurationBody.js";
import { callRepeatedly, requestsEverySecond } from "../directLoad.js";
import type { Measurement } from "../measurement.js";
import { eachSize } from "../measurement.js";
import { entryAt, loadConfiguration, withTestbed } from "../testbed.js";

const REQUESTS_PER_SECOND = 10;
const SETTLE_MS = 2_000;
const CATCH_UP_MS = 6_000;

const countRecords = (table: MemoryTable): number =>
    table.snapshot().filter(({ key }) => key.startsWith("history/"))
        .reduce((sum, { value }) => sum + historyRowSchema.parse(value).records.length, 0);

/** What is written after an outage of the table. */
export const tableOutage: Measurement = {
    description:
        "an outage of the table under 10 idempotent direct requests a second, and the writes in the 6 s after it",
    sizeUnit: "second without the table",
    sizes: [2, 4, 8],
    quickSizes: [1, 2, 3],
    run: eachSize((size, { settle }) =>
        withTestbed(1, async bed => {
            const vm = executorVm(0);
            const entry = entryAt(bed, 0);
            await loadConfiguration(entry, buildBody([vm], 1), 0);
            return withFleet(new AgentFleet(bed.deploymentKey, bed.addresses), async fleet => {
                fleet.start([vm]);
                await settle(SETTLE_MS);
                const residentBefore = entry.process.usage.residentMb;
                bed.table.faults.down = true;
                const load = callRepeatedly(entry, requestsEverySecond(REQUESTS_PER_SECOND));
                await systemClock.sleep(size * 1_000);
                const { answered, failed } = await load.stop();
                const recordsBefore = countRecords(bed.table);
                const { writes } = bed.table.counts;
                bed.table.faults.down = false;
                await settle(CATCH_UP_MS);
                return {
                    "requests answered in the outage": answered,
                    "requests failed in the outage": failed,
                    "writes in 6 s after": bed.table.counts.writes - writes,
                    "records written after": countRecords(bed.table) - recordsBefore,
                    "entry resident MB more": entry.process.usage.residentMb - residentBefore,
                };
            });
        })
    ),
};
