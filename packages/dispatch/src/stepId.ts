import type { JobView } from "./dispatchView.js";

/** Id of a step of one occurrence that is unique among all jobs. */
export const stepId = ({ job }: JobView, occurrence: number, stepIndex: number): string =>
    `${job.jobId} ${occurrence} ${stepIndex}`;
