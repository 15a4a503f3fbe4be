import { startAgentProcess } from "../agentProcess.js";
import { buildBody, executorVm } from "../configurationBody.js";
import { callRepeatedly, requestsEverySecond } from "../directLoad.js";
import type { Measurement } from "../measurement.js";
import { eachSize } from "../measurement.js";
import { figuresOf, watch, watchedEntry } from "../stretch.js";
import { entryAt, loadConfiguration, withTestbed } from "../testbed.js";

const SETTLE_MS = 2_000;

/** An executor's agent and its entry under direct requests of 1 KiB. */
export const directRequests: Measurement = {
    description: "an agent process beside an executor, and its entry, under idempotent direct requests of 1 KiB",
    sizeUnit: "request/s",
    sizes: [0, 10, 30],
    quickSizes: [0, 4, 8],
    run: eachSize((size, { settle, stretchMs }) =>
        withTestbed(1, async bed => {
            const vm = executorVm(0);
            const entry = entryAt(bed, 0);
            const agent = await startAgentProcess(bed, vm);
            try {
                await loadConfiguration(entry, buildBody([vm], 1), 0);
                const load = callRepeatedly(entry, requestsEverySecond(size));
                await settle(SETTLE_MS);
                const { writes, reads } = bed.table.counts;
                const [ofAgent, ofEntry] = await watch([agent.watched, watchedEntry(entry)], stretchMs);
                const perSecond = 1_000 / stretchMs;
                const counts = {
                    "table writes/s": (bed.table.counts.writes - writes) * perSecond,
                    "table reads/s": (bed.table.counts.reads - reads) * perSecond,
                };
                const answered = await load.stop();
                return {
                    ...ofAgent === undefined ? {} : figuresOf("executor agent", ofAgent),
                    ...ofEntry === undefined ? {} : figuresOf("entry", ofEntry),
                    ...counts,
                    "failed requests": answered.failed,
                };
            }
            finally {
                await agent.close();
            }
        })
    ),
};
