import { z } from "zod";

/** A row of the store; the version comes from one counter that rises with each transaction. */
export const storedRowSchema = z.object({ key: z.string(), value: z.string(), version: z.number() });
export type StoredRow = z.infer<typeof storedRowSchema>;

/** A change that a follower receives; without a value the row was removed. */
export const changedRowSchema = z.object({ key: z.string(), value: z.string().optional(), version: z.number() });
export type ChangedRow = z.infer<typeof changedRowSchema>;

/** Several conditional writes that take effect together or not at all. */
export const rowTransactionSchema = z.object({
    /** Version that each row must have; 0 means that it must be absent. */
    expected: z.array(z.object({ key: z.string(), version: z.number() })).default([]),
    puts: z.array(z.object({ key: z.string(), value: z.string() })).default([]),
    deletes: z.array(z.string()).default([]),
});
export type RowTransaction = z.input<typeof rowTransactionSchema>;

/** The answer to a transaction that took effect. */
export const committedSchema = z.object({ version: z.number(), nowMs: z.number() });
export type Committed = z.infer<typeof committedSchema>;

/** Why a transaction brought no success. */
export const commitErrorSchema = z.discriminatedUnion("kind", [
    /** A condition did not hold; the rows of the conditions as they are. */
    z.object({ kind: z.literal("conflict"), rows: z.array(storedRowSchema) }),
    /** Nothing was written. */
    z.object({ kind: z.literal("unavailable"), detail: z.string() }),
    /** The transaction may have taken effect, or may do so later if its conditions still hold then. */
    z.object({ kind: z.literal("unclear"), detail: z.string() }),
    /** The store never takes this transaction, for example because a row is too large. */
    z.object({ kind: z.literal("rejected"), detail: z.string() }),
]);
export type CommitError = z.infer<typeof commitErrorSchema>;

/** A range of keys, the end excluded. */
export const rowRangeSchema = z.object({ from: z.string(), to: z.string().optional(), limit: z.number().int() });
export type RowRange = z.infer<typeof rowRangeSchema>;

/** Rows of a range as of one moment. */
export const rowPageSchema = z.object({
    rows: z.array(storedRowSchema),
    hasMore: z.boolean(),
    version: z.number(),
    nowMs: z.number(),
});
export type RowPage = z.infer<typeof rowPageSchema>;

/** Changes after a version, in order. */
export const rowChangesSchema = z.object({
    rows: z.array(changedRowSchema),
    version: z.number(),
    nowMs: z.number(),
});
export type RowChanges = z.infer<typeof rowChangesSchema>;

/** Why a read brought no answer. */
export const readErrorSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("unavailable"), detail: z.string() }),
    /** The history after that version is gone; the table has to be scanned again. */
    z.object({ kind: z.literal("compacted") }),
]);
export type ReadError = z.infer<typeof readErrorSchema>;
