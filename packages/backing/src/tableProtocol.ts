import * as z from "zod";

/** Response to `POST /transactions` and `GET /writes/ID`: the new versions of the rows that were put. */
export const commitResponseSchema = z.object({ versions: z.record(z.string(), z.number().int().positive()) });

/** Response with status 409 to `POST /transactions` and `GET /writes/ID`: the keys whose version checks failed. */
export const conflictResponseSchema = z.object({ code: z.literal("conflict"), keys: z.array(z.string()) });

/** Response with status 503: the table was unavailable and wrote nothing. */
export const unavailableResponseSchema = z.object({ code: z.literal("unavailable"), detail: z.string() });

/** Any other error response. */
export const errorResponseSchema = z.object({ code: z.string(), detail: z.string() });

/** Query parameters of `GET /rows`. */
export const scanQuerySchema = z.object({
    prefix: z.string(),
    after: z.string().optional(),
    limit: z.coerce.number().int().positive(),
});
