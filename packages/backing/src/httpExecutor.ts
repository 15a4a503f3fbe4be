import { Result } from "true-myth";
import type { HttpClientOptions } from "./httpClient.js";
import { HttpClient, parseResponse } from "./httpClient.js";
import type { Executor, ExecutorRequest, WorkerError } from "./worker.js";
import { parseWorkerError } from "./workerErrorResponse.js";
import { executorResponseSchema } from "./workerProtocol.js";

/**
 * HTTP client of the executor on one VM. `refused` means that the request was definitely not executed.
 * `run` waits for the response until its signal aborts; `timeoutMs` does not apply, because each request has its own
 * deadline.
 */
export class HttpExecutor implements Executor {
    private readonly client: HttpClient;

    constructor(options: HttpClientOptions) {
        this.client = new HttpClient(options);
    }

    async run(request: ExecutorRequest, signal: AbortSignal): Promise<Result<string, WorkerError>> {
        const response = await this.client.send({ method: "POST", path: "/requests", body: request, signal });
        if (response.isErr) {
            const { mayHaveBeenSent, detail } = response.error;
            return Result.err({ kind: mayHaveBeenSent ? "unavailable" : "refused", detail });
        }
        if (response.value.status !== 200) {
            return Result.err(parseWorkerError(response.value));
        }
        const parsed = parseResponse(executorResponseSchema, response.value);
        if (parsed.isErr) {
            return Result.err({ kind: "unavailable", detail: parsed.error });
        }
        const { attemptId, answer: text } = parsed.value;
        return attemptId === request.attemptId
            ? Result.ok(text)
            : Result.err({ kind: "unavailable", detail: `answer of another attempt, ${attemptId}` });
    }

    /** Closes all connections after their pending requests have completed. */
    close(): Promise<void> {
        return this.client.close();
    }
}
