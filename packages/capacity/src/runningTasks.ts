import type { AgentFleet } from "./agentFleet.js";
import type { TestEntry } from "./testbed.js";
import { submitJob, waitUntil } from "./testbed.js";

const MAX_GANG_VMS = 64;

/** Splits a number of VMs into gangs of at most 64. */
export const gangSizes = (vms: number): readonly number[] => {
    const gangs = Math.ceil(vms / MAX_GANG_VMS);
    return Array.from({ length: gangs }, (_, index) => Math.floor((vms + index) / gangs));
};

/** Submits so many tasks for each VM of the fleet, in gangs as large as allowed, and waits until all have started. */
export const startTasks = async (
    entry: TestEntry,
    fleet: AgentFleet,
    vms: number,
    tasksPerVm: number,
    runMs: number,
): Promise<number> => {
    const before = fleet.count("called", "task.start");
    const gangs = Array.from({ length: tasksPerVm }, () => gangSizes(vms)).flat();
    for (const [index, size] of gangs.entries()) {
        await submitJob(entry, { vms: size, runMs, key: `tasks-${before}-${index}` });
    }
    const tasks = vms * tasksPerVm;
    await waitUntil(`the start of ${tasks} tasks`, () => fleet.count("called", "task.start") >= before + tasks, 60_000);
    return tasks;
};
