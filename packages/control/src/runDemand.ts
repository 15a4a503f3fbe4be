import type { Demand } from "@persimmonpitch/workload/step.js";
import type { StepJob } from "@persimmonpitch/workload/stepJob.js";

/** Resources that a run of the task takes on its executor. */
export const runDemand = ({ steps }: StepJob, key: string): Demand => {
    const step = steps[Number(key.split(".")[1])];
    const demand = step?.demand ?? { milliCores: 0, memoryMb: 0, accelerators: 0 };
    return step?.usesIdleCores === true ? { ...demand, milliCores: 0 } : demand;
};
