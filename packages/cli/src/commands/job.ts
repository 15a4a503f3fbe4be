import { jobRecordSchema } from "@persimmonpitch/schema/job.js";
import { exitCodeOfJob, formatJob } from "../formatJob.js";
import { readingCommand } from "../readingCommand.js";

/** Shows one job of the own team. */
export const job = readingCommand({
    summary: "shows a job of the own team",
    args: ["JOB"],
    pathOf: ([jobId = ""]) => `/v1/jobs/${encodeURIComponent(jobId)}`,
    schema: jobRecordSchema,
    format: formatJob,
    exitCodeOf: exitCodeOfJob,
});
