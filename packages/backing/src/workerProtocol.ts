import { z } from "zod";
import { workerTaskSchema } from "./worker.js";

/** Body of `POST /leases`. */
export const renewalSchema = z.object({ attemptIds: z.array(z.string()), leaseMs: z.number().positive() });

/** Body of `POST /tasks/ID/stop`. */
export const stopSchema = z.object({ checkpoint: z.boolean(), graceMs: z.number().nonnegative() });

/** Body of `POST /tasks/ID/throttle`. */
export const throttleSchema = z.object({ share: z.number().min(0).max(1) });

/** Answer to `GET /tasks`. */
export const taskListSchema = z.object({ tasks: z.array(workerTaskSchema) });

/** Answer to a call that returns nothing. */
export const doneSchema = z.object({});

/** Body of `POST /requests` to an executor. */
export const executorRequestSchema = z.object({
    attemptId: z.string(),
    team: z.string(),
    service: z.string(),
    body: z.string(),
});

/** Answer of an executor. */
export const executorAnswerSchema = z.object({ attemptId: z.string(), answer: z.string() });

/** Answer with status 409: what was asked for was certainly not done. */
export const refusedSchema = z.object({ code: z.literal("refused"), detail: z.string() });
