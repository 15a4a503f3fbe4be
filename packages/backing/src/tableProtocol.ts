import { z } from "zod";

/** Answer to `POST /transactions` and `GET /writes/ID`: the versions of the rows that were put. */
export const committedSchema = z.object({ versions: z.record(z.string(), z.number().int().positive()) });

/** Answer with status 409 to `POST /transactions`: the keys whose checks did not hold. */
export const conflictSchema = z.object({ code: z.literal("conflict"), keys: z.array(z.string()) });

/** Answer with status 503: the table was not available and has written nothing. */
export const unavailableSchema = z.object({ code: z.literal("unavailable"), detail: z.string() });

/** Any other error answer. */
export const problemSchema = z.object({ code: z.string(), detail: z.string() });

/** Query of `GET /rows`. */
export const scanQuerySchema = z.object({
    prefix: z.string(),
    after: z.string().optional(),
    limit: z.coerce.number().int().positive(),
});
