import * as z from "zod";
import { identifierSchema, millisSchema } from "./identifier.js";
import { workClassSchema } from "./job.js";

const MAX_BODY_LENGTH = 1024 * 1024;

/** A request to a service whose caller waits for the answer. */
export const directRequestBodySchema = z.strictObject({
    workClass: workClassSchema,
    idempotent: z.boolean(),
    requestKey: identifierSchema,
    /** Time the caller is willing to wait. */
    timeoutMs: millisSchema.positive().max(600_000).default(30_000),
    body: z.string().max(MAX_BODY_LENGTH),
});
export type DirectRequestBody = z.infer<typeof directRequestBodySchema>;
