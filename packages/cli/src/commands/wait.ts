import { systemClock } from "@persimmonpitch/clock/systemClock.js";
import { isTerminal, jobRecordSchema } from "@persimmonpitch/schema/job.js";
import type { JobRecord } from "@persimmonpitch/schema/job.js";
import { err, ok } from "true-myth/result";
import type { Result } from "true-myth/result";
import type { ApiClient } from "../apiClient.js";
import type { CliFailure } from "../cliFailure.js";
import type { Command } from "../command.js";
import { exitCodeOfJob, formatJob } from "../formatJob.js";

const DEFAULT_TIMEOUT_MS = 600_000;
/** One call waits no longer, so that an entry that drains is not held up. */
const CALL_TIMEOUT_MS = 20_000;
/** A server that answers early must not cause a busy loop. */
const MIN_CALL_INTERVAL_MS = 500;

const waitOnce = async (api: ApiClient, jobId: string, timeoutMs: number): Promise<Result<JobRecord, CliFailure>> => {
    const path = `/v1/jobs/${encodeURIComponent(jobId)}/wait?timeoutMs=${Math.ceil(timeoutMs)}`;
    const answer = await api.call({ method: "GET", path, isRepeatable: true, extraMs: timeoutMs }, jobRecordSchema);
    return answer.map(({ value }) => value);
};

const waitForEnd = async (api: ApiClient, jobId: string, timeoutMs: number, signal: AbortSignal) => {
    const end = systemClock.now() + timeoutMs;
    for (;;) {
        const start = systemClock.now();
        const answer = await waitOnce(api, jobId, Math.min(CALL_TIMEOUT_MS, Math.max(0, end - start)));
        if (answer.isErr || isTerminal(answer.value.state) || systemClock.now() >= end || signal.aborted) {
            return answer;
        }
        await systemClock.sleep(start + MIN_CALL_INTERVAL_MS - systemClock.now(), signal);
    }
};

/** Waits until a job has ended. */
export const wait: Command = {
    summary: "waits until a job of the own team has ended",
    args: ["JOB"],
    flags: ["timeoutMs"],
    run: async ({ args: [jobId = ""], flags: { timeoutMs = DEFAULT_TIMEOUT_MS }, connect, signal }) => {
        const api = connect();
        if (api.isErr) {
            return err(api.error);
        }
        const answer = await waitForEnd(api.value, jobId, timeoutMs, signal);
        return answer.andThen(record =>
            ok({
                text: formatJob(record),
                json: record,
                // A job that has not ended in time is a failure here, unlike in the command `job`.
                exitCode: isTerminal(record.state) ? exitCodeOfJob(record) : 1,
            })
        );
    },
};
