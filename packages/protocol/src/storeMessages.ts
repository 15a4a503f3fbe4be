import {
    changedRowSchema,
    commitErrorSchema,
    committedSchema,
    readErrorSchema,
    rowChangesSchema,
    rowPageSchema,
    rowRangeSchema,
    rowTransactionSchema,
} from "@persimmonpitch/workload/storedRow.js";
import { z } from "zod";

/** Which table a forwarded call is for: the system's own rows, or the rows of the operator. */
export const storeTableSchema = z.enum(["state", "operator"]);
export type StoreTable = z.infer<typeof storeTableSchema>;

const resultSchema = <V extends z.ZodType, E extends z.ZodType>(value: V, error: E) =>
    z.discriminatedUnion("kind", [
        z.object({ kind: z.literal("ok"), value }),
        z.object({ kind: z.literal("error"), error }),
    ]);

/** Calls between entries: store calls for a peer that the store refuses, and rows that were just written. */
export const storeMethods = {
    /**
     * Shows that the peer answers, because a connection to a VM that is gone stays open without it, and how long ago
     * the store answered the peer itself: calls go through the peer that it serves.
     */
    "store.ping": { params: z.object({}), result: z.object({ storeAgeMs: z.number().nonnegative().optional() }) },
    /** Rows that the caller has written, so that the receiver need not wait for them to come from the store. */
    "store.changed": { params: z.object({ rows: z.array(changedRowSchema) }), result: z.object({}) },
    "store.commit": {
        params: z.object({ table: storeTableSchema, transaction: rowTransactionSchema }),
        result: resultSchema(committedSchema, commitErrorSchema),
    },
    "store.scan": {
        params: z.object({ table: storeTableSchema, range: rowRangeSchema }),
        result: resultSchema(rowPageSchema, readErrorSchema),
    },
    "store.follow": {
        params: z.object({ table: storeTableSchema, after: z.number(), waitMs: z.number().nonnegative() }),
        result: resultSchema(rowChangesSchema, readErrorSchema),
    },
} as const;
export type StoreMethods = typeof storeMethods;
