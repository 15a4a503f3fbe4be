import { startAgentProcess } from "../agentProcess.js";
import { buildBody, workerVm } from "../configurationBody.js";
import type { Measurement } from "../measurement.js";
import { eachSize } from "../measurement.js";
import { figuresOf, watch } from "../stretch.js";
import { entryAt, loadConfiguration, submitJob, withTestbed } from "../testbed.js";

const SETTLE_MS = 3_000;

/** Progress is reported for each tenth, so a task reports every 10 s; real ones run for hours. */
const RUN_MS = 100_000;

/** An agent process of a worker with tasks whose progress is reported every 10 s. */
export const agentBusy: Measurement = {
    description: "an agent process beside a worker that runs tasks of 100 s, each reported every 10 s",
    sizeUnit: "running task",
    sizes: [1, 4, 8],
    quickSizes: [1, 2, 3],
    run: eachSize((size, { settle, stretchMs }) =>
        withTestbed(1, async bed => {
            const vm = workerVm(0);
            const entry = entryAt(bed, 0);
            const agent = await startAgentProcess(bed, vm);
            try {
                await loadConfiguration(entry, buildBody([vm], 1), 0);
                for (let task = 0; task < size; task += 1) {
                    await submitJob(entry, { vms: 1, runMs: RUN_MS, key: `task-${task}` });
                }
                await settle(SETTLE_MS);
                const [use] = await watch([agent.watched], stretchMs);
                return use === undefined ? {} : figuresOf("agent", use);
            }
            finally {
                await agent.close();
            }
        })
    ),
};
