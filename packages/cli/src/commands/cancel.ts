import { cancelAnswerSchema } from "@persimmonpitch/schema/apiAnswers.js";
import type { CancelAnswer } from "@persimmonpitch/schema/apiAnswers.js";
import { err } from "true-myth/result";
import type { Command } from "../command.js";

type CancelResult = CancelAnswer["result"];

const texts: { readonly [R in CancelResult]: (answer: CancelAnswer) => string; } = {
    cancelled: ({ job }) => `The job ${job.jobId} is cancelled.`,
    stopping: ({ job }) => `The job ${job.jobId} is being stopped.`,
    alreadyEnded: ({ job }) => `The job ${job.jobId} had already ended with the state ${job.state}.`,
};

/** The caller asked for a cancellation, so a job that ended otherwise is not a success. */
const exitCodes: { readonly [R in CancelResult]: 0 | 1; } = { cancelled: 0, stopping: 0, alreadyEnded: 1 };

/** Cancels a job. */
export const cancel: Command = {
    summary: "cancels a job",
    args: ["JOB"],
    flags: ["own"],
    run: async ({ args: [jobId = ""], flags, connect }) => {
        const api = connect();
        if (api.isErr) {
            return err(api.error);
        }
        const path = `/v1/${flags.own === true ? "" : "admin/"}jobs/${encodeURIComponent(jobId)}/cancel`;
        // A second cancellation of the same job changes nothing.
        const answer = await api.value.call({ method: "POST", path, isRepeatable: true }, cancelAnswerSchema);
        return answer.map(({ value }) => ({
            text: texts[value.result](value),
            json: value,
            exitCode: exitCodes[value.result],
        }));
    },
};
