import { jobRecordSchema, jobRequestSchema } from "@persimmonpitch/schema/job.js";
import { err } from "true-myth/result";
import type { Command } from "../command.js";
import { formatJob } from "../formatJob.js";
import { readField, readInput } from "../readInput.js";

const jobFileSchema = jobRequestSchema.partial({ requestKey: true });

/** Submits a job. */
export const submit: Command = {
    summary: "submits the job of a TOML file",
    args: ["FILE"],
    flags: ["key", "bodyFile"],
    run: async ({ args: [file = ""], flags: { key, bodyFile }, connect }) => {
        const additions = { ...key === undefined ? {} : { requestKey: key } };
        const body = readField("payload", bodyFile).andThen(payload =>
            readInput(file, jobFileSchema, jobRequestSchema, { ...additions, ...payload })
        );
        if (body.isErr) {
            return err(body.error);
        }
        const api = connect();
        if (api.isErr) {
            return err(api.error);
        }
        // The same request key answers with the same job, so the request may be sent again.
        const answer = await api.value.call(
            { method: "POST", path: "/v1/jobs", body: body.value, isRepeatable: true },
            jobRecordSchema,
        );
        return answer.map(({ value }) => ({ text: formatJob(value), json: value }));
    },
};
