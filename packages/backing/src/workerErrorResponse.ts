import type { HttpResponse } from "./httpClient.js";
import { errorDetail, parseResponse } from "./httpClient.js";
import type { WorkerError } from "./worker.js";
import { refusalResponseSchema } from "./workerProtocol.js";

/** Converts an error response of a worker or executor; only a well-formed 409 response counts as a refusal. */
export const parseWorkerError = (response: HttpResponse): WorkerError => {
    const isRefused = response.status === 409 && parseResponse(refusalResponseSchema, response).isOk;
    return { kind: isRefused ? "refused" : "unavailable", detail: errorDetail(response) };
};
