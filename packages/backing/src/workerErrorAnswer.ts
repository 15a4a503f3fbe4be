import type { HttpAnswer } from "./httpClient.js";
import { parseAnswer, problemDetail } from "./httpClient.js";
import type { WorkerError } from "./worker.js";
import { refusedSchema } from "./workerProtocol.js";

/** The error that an answer of a worker or executor stands for; only a well-formed refusal is one. */
export const workerErrorOf = (answer: HttpAnswer): WorkerError => {
    const isRefused = answer.status === 409 && parseAnswer(refusedSchema, answer).isOk;
    return { kind: isRefused ? "refused" : "unavailable", detail: problemDetail(answer) };
};
