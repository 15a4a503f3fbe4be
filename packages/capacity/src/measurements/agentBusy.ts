import { systemClock } from "@persimmonpitch/clock/systemClock.js";
import { startAgentProcess } from "../agentProcess.js";
import { buildBody, workerVm } from "../configurationBody.js";
import type { Measurement, Point, RunOptions } from "../measurement.js";
import { figuresOf, watch } from "../stretch.js";
import { loadConfiguration, startTestbed, submitJob } from "../testbed.js";

const SETTLE_MS = 3_000;

/** Progress is reported for each tenth, so a task reports every 10 s; real ones run for hours. */
const RUN_MS = 100_000;

const measure = async (size: number, { stretchMs }: RunOptions): Promise<Point> => {
    const vm = workerVm(0);
    const bed = await startTestbed(1);
    const [entry] = bed.entries;
    if (entry === undefined) {
        throw new Error("The testbed has no entry.");
    }
    const agent = await startAgentProcess(bed, vm);
    try {
        await loadConfiguration(entry, buildBody([vm], 1), 0);
        for (let task = 0; task < size; task += 1) {
            await submitJob(entry, { vms: 1, runMs: RUN_MS, key: `task-${task}` });
        }
        await systemClock.sleep(SETTLE_MS);
        const [use] = await watch([agent.watched], stretchMs);
        return { size, values: use === undefined ? {} : figuresOf("agent", use) };
    }
    finally {
        await agent.close();
        await bed.close();
    }
};

/** An agent process of a worker with tasks whose progress is reported every 10 s. */
export const agentBusy: Measurement = {
    description: "an agent process beside a worker that runs tasks of 100 s, each reported every 10 s",
    sizeUnit: "running tasks",
    sizes: [1, 4, 8],
    quickSizes: [1, 2, 3],
    run: async options => {
        const points: Point[] = [];
        for (const size of options.sizes) {
            points.push(await measure(size, options));
        }
        return points;
    },
};
