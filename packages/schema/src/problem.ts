import * as z from "zod";
import { ranSchema } from "./job.js";

/** A finding as it is sent to a client. */
export const findingBodySchema = z.object({
    messageId: z.string(),
    message: z.string(),
    place: z.object({
        file: z.string().optional(),
        line: z.number().int().positive().optional(),
        column: z.number().int().positive().optional(),
        path: z.string().optional(),
    }),
});
export type FindingBody = z.infer<typeof findingBodySchema>;

/** RFC 9457 problem details; `code` is stable, `detail` is for people. */
export const problemSchema = z.object({
    type: z.string().default("about:blank"),
    title: z.string(),
    status: z.number().int().min(400).max(599),
    detail: z.string().default(""),
    instance: z.string().optional(),
    code: z.string().min(1),
    ran: ranSchema,
    retryAfterMs: z.number().nonnegative().optional(),
    /** Faults of a refused configuration, all together. */
    findings: z.array(findingBodySchema).optional(),
    /** Version in force, with the code `versionConflict`. */
    currentVersion: z.number().int().nonnegative().optional(),
    /** Version that the caller named, with the code `versionConflict`. */
    readVersion: z.number().nonnegative().optional(),
});
export type Problem = z.infer<typeof problemSchema>;
