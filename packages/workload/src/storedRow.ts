import * as z from "zod";

/** A row of the store; its version comes from a single counter that increases with each transaction. */
export const storedRowSchema = z.object({ key: z.string(), value: z.string(), version: z.number() });
export type StoredRow = z.infer<typeof storedRowSchema>;

/** A changed row as sent to followers of the table; without a value the row was deleted. */
export const changedRowSchema = z.object({ key: z.string(), value: z.string().optional(), version: z.number() });
export type ChangedRow = z.infer<typeof changedRowSchema>;

/** Conditional writes that are applied atomically. */
export const rowTransactionSchema = z.object({
    /** Version that each row must have for the transaction to commit; 0 means that the row must not exist. */
    expected: z.array(z.object({ key: z.string(), version: z.number() })).default([]),
    puts: z.array(z.object({ key: z.string(), value: z.string() })).default([]),
    deletes: z.array(z.string()).default([]),
});
export type RowTransaction = z.input<typeof rowTransactionSchema>;

/** The response to a committed transaction. */
export const committedSchema = z.object({ version: z.number(), nowMs: z.number() });
export type Committed = z.infer<typeof committedSchema>;

/** Why a transaction failed, or why its result is unknown. */
export const commitErrorSchema = z.discriminatedUnion("kind", [
    /** A condition did not hold; `rows` are the current rows of all conditions. */
    z.object({ kind: z.literal("conflict"), rows: z.array(storedRowSchema) }),
    /** Nothing was written. */
    z.object({ kind: z.literal("unavailable"), detail: z.string() }),
    /** The transaction may have committed, or may still commit later if its conditions hold then. */
    z.object({ kind: z.literal("unclear"), detail: z.string() }),
    /** The store never takes this transaction, for example because a row is too large. */
    z.object({ kind: z.literal("rejected"), detail: z.string() }),
]);
export type CommitError = z.infer<typeof commitErrorSchema>;

/** A range of keys that excludes its end `to`. */
export const rowRangeSchema = z.object({ from: z.string(), to: z.string().optional(), limit: z.number().int() });
export type RowRange = z.infer<typeof rowRangeSchema>;

/** Rows of a range in one consistent snapshot. */
export const rowPageSchema = z.object({
    rows: z.array(storedRowSchema),
    hasMore: z.boolean(),
    version: z.number(),
    nowMs: z.number(),
});
export type RowPage = z.infer<typeof rowPageSchema>;

/** Changes after a version, in the order of their versions. */
export const rowChangesSchema = z.object({
    rows: z.array(changedRowSchema),
    version: z.number(),
    nowMs: z.number(),
});
export type RowChanges = z.infer<typeof rowChangesSchema>;

/** Why a read failed. */
export const readErrorSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("unavailable"), detail: z.string() }),
    /** The changes after that version are no longer kept; the table has to be scanned again. */
    z.object({ kind: z.literal("compacted") }),
]);
export type ReadError = z.infer<typeof readErrorSchema>;
