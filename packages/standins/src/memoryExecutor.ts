import type { RequestRun } from "@persimmonpitch/backing/runRecord.js";
import type { Executor, ExecutorRequest, WorkerError } from "@persimmonpitch/backing/worker.js";
import type { Clock } from "@persimmonpitch/clock/clock.js";
import { Result } from "true-myth";
import * as z from "zod";
import { parseJson } from "./parseJson.js";

/** Faults that a test can cause. */
export const executorFaultsSchema = z.object({
    /** Every request is refused without being run. */
    down: z.boolean(),
    /** Added to the time of each request, in milliseconds. */
    slow: z.number().nonnegative(),
    /** Every request runs and fails. */
    failAll: z.boolean(),
});
export type ExecutorFaults = z.infer<typeof executorFaultsSchema>;

const workSchema = z.object({ workMs: z.number().nonnegative(), answer: z.string() });

const ECHO_MS = 5;

/** The executor of a service on one VM, in memory. */
export class MemoryExecutor implements Executor {
    readonly faults: ExecutorFaults = { down: false, slow: 0, failAll: false };
    /** Every run, in order of its start. */
    readonly runs: RequestRun[] = [];

    constructor(private readonly clock: Clock, private readonly vmId: string) {}

    async run(request: ExecutorRequest, signal: AbortSignal): Promise<Result<string, WorkerError>> {
        if (this.faults.down) {
            return Result.err({ kind: "refused", detail: "the executor is down" });
        }
        const { workMs, answer } = parseJson(workSchema, request.body) ?? { workMs: ECHO_MS, answer: request.body };
        const { attemptId, team, service } = request;
        const run: RequestRun = {
            vmId: this.vmId,
            attemptId,
            team,
            service,
            startedAt: this.clock.now(),
            state: "running",
        };
        this.runs.push(run);
        await this.clock.sleep(workMs + this.faults.slow, signal);
        run.endedAt = this.clock.now();
        if (signal.aborted) {
            run.state = "aborted";
            return Result.err({ kind: "unavailable", detail: "the request was aborted" });
        }
        if (this.faults.failAll) {
            run.state = "failed";
            return Result.err({ kind: "unavailable", detail: "the executor failed" });
        }
        run.state = "finished";
        run.answer = answer;
        return Result.ok(answer);
    }
}
