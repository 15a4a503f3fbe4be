import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { InProcessDeployment } from "./inProcessDeployment.js";
import { createSmallBody } from "./smallBody.js";
import type { Workload } from "./workload.js";

/** A fault that is caused while jobs and requests run. */
export interface Fault {
    /** Causes the fault, waits and heals it. */
    readonly run: (deployment: InProcessDeployment, workload: Workload) => Promise<void>;
    /** Whether the scheduling role changes hands meanwhile. */
    readonly changesRole: boolean;
}

const RACK = ["worker-1", "worker-2", "worker-3"] as const;
const ENTRIES = ["entry-1", "entry-2"] as const;
const SHORT_MS: Millis = 3_000;
const LONG_MS: Millis = 40_000;
const OUTAGE_MS: Millis = 60_000;

const holderOf = (deployment: InProcessDeployment): string => deployment.holderId ?? ENTRIES[0];

const loseVms = async (deployment: InProcessDeployment, vmIds: readonly string[]): Promise<void> => {
    vmIds.forEach(vmId => {
        deployment.loseVm(vmId);
    });
    await deployment.clock.advance(LONG_MS);
    createSmallBody().vms.filter(({ id }) => vmIds.includes(id)).forEach(vm => {
        deployment.startAgent(vm);
    });
};

const restartEntry = async (deployment: InProcessDeployment, id: string): Promise<void> => {
    deployment.killEntry(id);
    await deployment.clock.advance(LONG_MS);
    deployment.startEntry(id);
};

const tableOutage = async (deployment: InProcessDeployment, workload: Workload): Promise<void> => {
    deployment.table.faults.down = true;
    await workload.sendRequests();
    await deployment.clock.advance(OUTAGE_MS);
    deployment.table.faults.down = false;
};

/** All faults, keyed by name. Each runs alone and, in the pair test, together with another. */
export const FAULTS = {
    none: { changesRole: false, run: ({ clock }) => clock.advance(SHORT_MS) },
    holderKilled: { changesRole: true, run: deployment => restartEntry(deployment, holderOf(deployment)) },
    holderPaused: {
        changesRole: true,
        run: async deployment => {
            const id = holderOf(deployment);
            deployment.pauseEntry(id);
            await deployment.clock.advance(LONG_MS);
            deployment.resumeEntry(id);
        },
    },
    allEntriesRestarted: {
        changesRole: true,
        run: async deployment => {
            ENTRIES.forEach(id => {
                deployment.killEntry(id);
            });
            await deployment.clock.advance(SHORT_MS);
            ENTRIES.forEach(id => {
                deployment.startEntry(id);
            });
        },
    },
    agentRestarted: {
        changesRole: false,
        run: async deployment => {
            deployment.killAgent("worker-1");
            await deployment.clock.advance(SHORT_MS);
            createSmallBody().vms.filter(({ id }) => id === "worker-1").forEach(vm => {
                deployment.startAgent(vm);
            });
        },
    },
    agentPaused: {
        changesRole: false,
        run: async deployment => {
            deployment.pauseAgent("worker-1");
            await deployment.clock.advance(LONG_MS);
            deployment.resumeAgent("worker-1");
        },
    },
    vmLost: { changesRole: false, run: deployment => loseVms(deployment, ["worker-1"]) },
    rackLost: { changesRole: false, run: deployment => loseVms(deployment, RACK) },
    tableDown: { changesRole: false, run: tableOutage },
    tableSlow: {
        changesRole: false,
        run: async ({ table, clock }) => {
            table.faults.slow = 1_500;
            await clock.advance(LONG_MS);
            table.faults.slow = 0;
        },
    },
    /** Each call takes longer than a reservation lasts, and longer than the term of the role. */
    tableStalls: {
        changesRole: false,
        run: async ({ table, clock }) => {
            table.faults.slow = 12_000;
            await clock.advance(LONG_MS);
            table.faults.slow = 0;
        },
    },
    answersLost: {
        changesRole: false,
        run: async ({ table, clock }) => {
            for (let round = 0; round < 5; round += 1) {
                table.faults.loseAnswers = 2;
                await clock.advance(SHORT_MS);
            }
            table.faults.loseAnswers = 0;
        },
    },
    entriesCut: {
        changesRole: false,
        run: async deployment => {
            deployment.cut(ENTRIES[0], ENTRIES[1]);
            await deployment.clock.advance(LONG_MS);
            deployment.heal();
        },
    },
    agentsCut: {
        changesRole: false,
        run: async deployment => {
            RACK.forEach(vmId => {
                ENTRIES.forEach(id => {
                    deployment.cut(vmId, id);
                });
            });
            await deployment.clock.advance(LONG_MS);
            deployment.heal();
        },
    },
    workerFailsAll: {
        changesRole: false,
        run: async ({ workers, clock }) => {
            const worker = workers.get("worker-1");
            if (worker !== undefined) {
                worker.faults.failAll = true;
                await clock.advance(LONG_MS);
                worker.faults.failAll = false;
            }
        },
    },
    cancellationWave: { changesRole: false, run: (_deployment, workload) => workload.cancelAll() },
    executorDrained: {
        changesRole: false,
        run: async (deployment, workload) => {
            const drained = deployment.drainAgent("executor-1");
            await workload.sendRequests();
            // The agent waits for its records to become durable, which takes longer than the requests after an outage.
            await deployment.runUntilSettled(drained);
        },
    },
} as const satisfies Readonly<Record<string, Fault>>;

export type FaultName = keyof typeof FAULTS;
