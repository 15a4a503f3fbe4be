import { Result } from "true-myth";
import type * as z from "zod";
import type { HttpClientOptions, HttpRequest } from "./httpClient.js";
import { HttpClient, parseResponse } from "./httpClient.js";
import type { StartTaskRequest, Worker, WorkerError, WorkerTask } from "./worker.js";
import { workerTaskSchema } from "./worker.js";
import { parseWorkerError } from "./workerErrorResponse.js";
import { emptyResponseSchema, taskListResponseSchema } from "./workerProtocol.js";

/**
 * HTTP client of the worker runtime on one VM.
 * It does not retry; the agent on the same VM decides on retries. Starting an attempt is idempotent.
 */
export class HttpWorker implements Worker {
    private readonly client: HttpClient;

    constructor(private readonly options: HttpClientOptions) {
        this.client = new HttpClient(options);
    }

    start(task: StartTaskRequest): Promise<Result<WorkerTask, WorkerError>> {
        return this.sendAndParse(workerTaskSchema, { method: "POST", path: "/tasks", body: task });
    }

    async renewLeases(attemptIds: readonly string[], leaseMs: number): Promise<Result<undefined, WorkerError>> {
        const result = await this.sendAndParse(emptyResponseSchema, {
            method: "POST",
            path: "/leases",
            body: { attemptIds, leaseMs },
        });
        return result.map(() => undefined);
    }

    stop(attemptId: string, writeCheckpoint: boolean, graceMs: number): Promise<Result<WorkerTask, WorkerError>> {
        return this.sendAndParse(workerTaskSchema, {
            method: "POST",
            path: `${taskPath(attemptId)}/stop`,
            body: { checkpoint: writeCheckpoint, graceMs },
            timeoutMs: this.options.timeoutMs + graceMs,
        });
    }

    async throttle(attemptId: string, share: number): Promise<Result<undefined, WorkerError>> {
        const path = `${taskPath(attemptId)}/throttle`;
        const result = await this.sendAndParse(emptyResponseSchema, { method: "POST", path, body: { share } });
        return result.map(() => undefined);
    }

    async listTasks(): Promise<Result<readonly WorkerTask[], WorkerError>> {
        const result = await this.sendAndParse(taskListResponseSchema, { method: "GET", path: "/tasks" });
        return result.map(({ tasks }) => tasks);
    }

    /** Closes all connections after their pending requests have completed. */
    close(): Promise<void> {
        return this.client.close();
    }

    private async sendAndParse<Schema extends z.ZodType>(
        schema: Schema,
        request: HttpRequest,
    ): Promise<Result<z.infer<Schema>, WorkerError>> {
        const response = await this.client.send(request);
        if (response.isErr) {
            return Result.err({ kind: "unavailable", detail: response.error.detail });
        }
        if (response.value.status === 200) {
            return parseResponse(schema, response.value).mapErr(detail => ({ kind: "unavailable", detail }));
        }
        return Result.err(parseWorkerError(response.value));
    }
}

const taskPath = (attemptId: string): string => `/tasks/${encodeURIComponent(attemptId)}`;
