import type { ExecutorInfo } from "@persimmonpitch/workload/executorReport.js";

const machineOf = ({ service, labels, capacity }: ExecutorInfo): string =>
    JSON.stringify([service, [...labels].sort(), capacity.milliCores, capacity.memoryMb, capacity.accelerators]);

/** Whether an executor now describes itself as different hardware, so that its earlier speed says nothing. */
export const isOtherMachine = (before: ExecutorInfo, after: ExecutorInfo): boolean =>
    machineOf(before) !== machineOf(after);
