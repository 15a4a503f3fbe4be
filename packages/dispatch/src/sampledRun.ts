import { parseTaskKey } from "@persimmonpitch/workload/taskName.js";
import type { SampledRun } from "./dispatchView.js";

/** A run that ended as its task was done. */
export interface EndedRun extends Pick<SampledRun, "places" | "step" | "workMs" | "endedAt"> {
    readonly jobId: string;
    readonly key: string;
    readonly run: number;
}

/** Describes an ended run for a sample of run times. */
export const sampledRunOf = ({ jobId, key, run, ...rest }: EndedRun): SampledRun => {
    const { occurrence = 0, step: stepIndex = 0 } = parseTaskKey(key) ?? {};
    const groupKey = rest.step.isGang ? `${occurrence}.${stepIndex}` : key;
    return { ...rest, stepId: `${jobId} ${stepIndex}`, groupId: `${jobId} ${groupKey} ${run}` };
};
