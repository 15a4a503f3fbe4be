import * as z from "zod";
import { identifierSchema, millisSchema } from "./identifier.js";
import { ranSchema } from "./job.js";

/** What can happen to a job or a direct request. */
export const historyEventSchema = z.enum([
    "accepted",
    "refused",
    "claimed",
    "started",
    "preempted",
    "requeued",
    "cancelRequested",
    "cancelled",
    "finished",
    "failed",
]);
export type HistoryEvent = z.infer<typeof historyEventSchema>;

/** One event in a team's history. */
export const historyRecordSchema = z.object({
    team: identifierSchema,
    kind: z.enum(["job", "request"]),
    /** The job or request. */
    subjectId: identifierSchema,
    /** Position among the events of the subject, from 0. */
    sequence: z.number().int().nonnegative(),
    event: historyEventSchema,
    at: millisSchema,
    requestKey: identifierSchema,
    attemptId: identifierSchema.optional(),
    ran: ranSchema.optional(),
    detail: z.string().default(""),
});
export type HistoryRecord = z.infer<typeof historyRecordSchema>;
