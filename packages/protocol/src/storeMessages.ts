import { clusterConfigSchema } from "@persimmonpitch/workload/clusterConfig.js";
import { evacuationStateSchema } from "@persimmonpitch/workload/evacuationState.js";
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
import * as z from "zod";

/** Table that a forwarded call is for: the system's own rows or the operator's rows. */
export const storeTableSchema = z.enum(["state", "operator"]);
export type StoreTable = z.infer<typeof storeTableSchema>;

const storeResultSchema = <V extends z.ZodType, E extends z.ZodType>(value: V, error: E) =>
    z.discriminatedUnion("kind", [
        z.object({ kind: z.literal("ok"), value }),
        z.object({ kind: z.literal("error"), error }),
    ]);

/**
 * Methods that entries serve to one another: store calls forwarded for a peer whose direct calls to the store fail,
 * notices of written rows, the configuration and the evacuated data centres.
 */
export const storeMethods = {
    /**
     * Checks that the peer responds, because a connection to a lost VM would otherwise stay open. The result contains
     * the time since the store last answered the peer, because calls are forwarded through the peer that it answered
     * last, and the versions of its configuration and of its evacuation state, so that an entry with an older one can
     * read it. A peer of an earlier release has no evacuation state.
     */
    "store.ping": {
        params: z.object({}),
        result: z.object({
            storeAgeMs: z.number().nonnegative().optional(),
            configVersion: z.number().int().nonnegative().optional(),
            evacuationVersion: z.number().int().nonnegative().optional(),
        }),
    },
    /** Reads the configuration that the peer has in force. */
    "config.read": { params: z.object({}), result: z.object({ config: clusterConfigSchema.optional() }) },
    /** Reads the evacuated data centres that the peer knows. */
    "evacuation.read": { params: z.object({}), result: z.object({ state: evacuationStateSchema.optional() }) },
    /** Sends rows that the caller has written, so that the receiver does not have to wait for them from the store. */
    "store.changed": { params: z.object({ rows: z.array(changedRowSchema) }), result: z.object({}) },
    /** Forwards a transaction to the store. */
    "store.commit": {
        params: z.object({ table: storeTableSchema, transaction: rowTransactionSchema }),
        result: storeResultSchema(committedSchema, commitErrorSchema),
    },
    /** Forwards a range read to the store. */
    "store.scan": {
        params: z.object({ table: storeTableSchema, range: rowRangeSchema }),
        result: storeResultSchema(rowPageSchema, readErrorSchema),
    },
    /** Forwards a long poll for the changes after a version to the store. */
    "store.follow": {
        params: z.object({ table: storeTableSchema, after: z.number(), waitMs: z.number().nonnegative() }),
        result: storeResultSchema(rowChangesSchema, readErrorSchema),
    },
} as const;
export type StoreMethods = typeof storeMethods;
