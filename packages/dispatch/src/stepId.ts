import type { JobView } from "./dispatchView.js";

/** Identity of a step of one occurrence among all jobs. */
export const stepId = ({ job }: JobView, occurrence: number, stepIndex: number): string =>
    `${job.jobId} ${occurrence} ${stepIndex}`;
