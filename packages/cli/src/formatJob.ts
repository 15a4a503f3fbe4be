import type { JobRecord, JobState } from "@persimmonpitch/schema/job.js";
import { formatTable, formatTime } from "./formatTable.js";

/** Only a job that can no longer finish is a failure to the shell; one that waits or runs is not. */
const EXIT_CODES: Readonly<Record<JobState, 0 | 1>> = {
    queued: 0,
    starting: 0,
    running: 0,
    stopping: 0,
    finished: 0,
    failed: 1,
    cancelled: 1,
    refused: 1,
};

/** The exit code for a job in this state. */
export const exitCodeOfJob = ({ state }: JobRecord): 0 | 1 => EXIT_CODES[state];

/** One job, a line for each field. */
export const formatJob = ({ jobId, spec, state, submittedAt, attempts, attempt, outcome }: JobRecord): string =>
    formatTable(["job", jobId], [
        ["team", spec.team],
        ["request key", spec.requestKey],
        ["class", spec.workClass],
        ["state", state],
        ["submitted at", formatTime(submittedAt)],
        ["attempts", String(attempts)],
        ...attempt === undefined ? [] : [["members", attempt.members.map(({ vmId }) => vmId).join(", ")]],
        ...outcome === undefined ? [] : [
            ["ran", outcome.ran],
            ["code", outcome.code],
            ["detail", outcome.detail],
            ["result", outcome.result],
            ["ended at", formatTime(outcome.at)],
        ],
    ]);
