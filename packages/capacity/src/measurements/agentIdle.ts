import { systemClock } from "@persimmonpitch/clock/systemClock.js";
import type { AgentProcess } from "../agentProcess.js";
import { startAgentProcess } from "../agentProcess.js";
import { buildBody, workerVm } from "../configurationBody.js";
import type { Measurement, Point, RunOptions } from "../measurement.js";
import { figuresOf, watch } from "../stretch.js";
import { loadConfiguration, startTestbed } from "../testbed.js";

const SETTLE_MS = 3_000;

const total = (uses: readonly Record<string, number>[]): Record<string, number> => {
    const sums: Record<string, number> = {};
    for (const [name, value] of uses.flatMap(use => Object.entries(use))) {
        sums[name] = (sums[name] ?? 0) + value;
    }
    return sums;
};

const measure = async (size: number, { stretchMs }: RunOptions): Promise<Point> => {
    const vms = Array.from({ length: size }, (_, index) => workerVm(index));
    const bed = await startTestbed(1);
    const agents: AgentProcess[] = [];
    try {
        await Promise.all(bed.entries.map(entry => loadConfiguration(entry, buildBody(vms, 1), 0)));
        for (const vm of vms) {
            agents.push(await startAgentProcess(bed, vm));
        }
        await systemClock.sleep(SETTLE_MS);
        const uses = await watch(agents.map(({ watched }) => watched), stretchMs);
        return { size, values: total(uses.map(use => figuresOf("agent", use))) };
    }
    finally {
        await Promise.all(agents.map(agent => agent.close()));
        await bed.close();
    }
};

/** Idle agent processes of workers; the slope is the use of one. */
export const agentIdle: Measurement = {
    description: "idle agent processes beside workers; sums over all of them",
    sizeUnit: "agent processes",
    sizes: [2, 6, 12],
    quickSizes: [1, 2, 3],
    run: async options => {
        const points: Point[] = [];
        for (const size of options.sizes) {
            points.push(await measure(size, options));
        }
        return points;
    },
};
