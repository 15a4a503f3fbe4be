import * as z from "zod";
import { workerTaskSchema } from "./worker.js";

/** Body of `POST /leases`. */
export const renewLeasesRequestSchema = z.object({ attemptIds: z.array(z.string()), leaseMs: z.number().positive() });

/** Body of `POST /tasks/ID/stop`. */
export const stopTaskRequestSchema = z.object({ checkpoint: z.boolean(), graceMs: z.number().nonnegative() });

/** Body of `POST /tasks/ID/throttle`. */
export const throttleTaskRequestSchema = z.object({ share: z.number().min(0).max(1) });

/** Response to `GET /tasks`. */
export const taskListResponseSchema = z.object({ tasks: z.array(workerTaskSchema) });

/** Response to a request that returns no data. */
export const emptyResponseSchema = z.object({});

/** Body of `POST /requests` to an executor. */
export const executorRequestSchema = z.object({
    attemptId: z.string(),
    team: z.string(),
    service: z.string(),
    body: z.string(),
});

/** Response of an executor to `POST /requests`. */
export const executorResponseSchema = z.object({ attemptId: z.string(), answer: z.string() });

/** Response with status 409: the request was definitely not carried out. */
export const refusalResponseSchema = z.object({ code: z.literal("refused"), detail: z.string() });
