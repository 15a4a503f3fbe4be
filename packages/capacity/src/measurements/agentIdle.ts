import type { AgentProcess } from "../agentProcess.js";
import { startAgentProcess } from "../agentProcess.js";
import { buildBody, workerVms } from "../configurationBody.js";
import type { Measurement } from "../measurement.js";
import { eachSize } from "../measurement.js";
import type { StretchUse } from "../stretch.js";
import { figuresOf, watch } from "../stretch.js";
import { entryAt, loadConfiguration, withTestbed } from "../testbed.js";

const SETTLE_MS = 6_000;

const total = (uses: readonly StretchUse[]): StretchUse =>
    uses.reduce((sum, use) => ({
        corePercent: sum.corePercent + use.corePercent,
        residentMb: sum.residentMb + use.residentMb,
        sentPerSecond: sum.sentPerSecond + use.sentPerSecond,
        receivedPerSecond: sum.receivedPerSecond + use.receivedPerSecond,
    }));

/** Idle agent processes of workers; the slope is the use of one. */
export const agentIdle: Measurement = {
    description: "idle agent processes beside workers; sums over all of them",
    sizeUnit: "agent process",
    sizes: [2, 5, 10],
    quickSizes: [1, 2, 3],
    run: eachSize((size, { settle, stretchMs }) =>
        withTestbed(1, async bed => {
            const vms = workerVms(size);
            await loadConfiguration(entryAt(bed, 0), buildBody(vms, 1), 0);
            const agents: AgentProcess[] = [];
            try {
                for (const vm of vms) {
                    agents.push(await startAgentProcess(bed, vm));
                }
                await settle(SETTLE_MS);
                return figuresOf("agent", total(await watch(agents.map(({ watched }) => watched), stretchMs)));
            }
            finally {
                await Promise.all(agents.map(agent => agent.close()));
            }
        })
    ),
};
