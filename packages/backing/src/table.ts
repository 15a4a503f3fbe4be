import type { Result } from "true-myth";
import { z } from "zod";

/** A row of the platform's table; its version rises by one with each write. */
export const rowSchema = z.object({ key: z.string(), version: z.number().int().positive(), value: z.unknown() });
export type Row = z.infer<typeof rowSchema>;

/** A condition on a row; version 0 means that the row must be absent. */
export const checkSchema = z.object({ key: z.string(), version: z.number().int().nonnegative() });
export type Check = z.infer<typeof checkSchema>;

/** Several conditional writes that take effect together or not at all. */
export const transactionSchema = z.object({
    /**
     * Unique for each logical write, so that a lost answer can be settled by reading it back. The table's first answer
     * to a write id is final: a copy that arrives late changes nothing.
     */
    writeId: z.string().min(1),
    checks: z.array(checkSchema).default([]),
    puts: z.array(z.object({ key: z.string().min(1), value: z.unknown() })).default([]),
    deletes: z.array(z.string()).default([]),
});
export type Transaction = z.infer<typeof transactionSchema>;

/** A page of a scan in key order; `next` is the key to go on after. */
export const pageSchema = z.object({ rows: z.array(rowSchema), next: z.string().optional() });
export type Page = z.infer<typeof pageSchema>;

/** Why a call to the table failed. */
export type TableError =
    /** A check did not hold; nothing was written. */
    | { readonly kind: "conflict"; readonly keys: readonly string[]; }
    /** The table could not be reached; nothing was written. */
    | { readonly kind: "unavailable"; readonly detail: string; }
    /** No answer came back and reading the write id back failed as well. */
    | { readonly kind: "unclear"; readonly detail: string; };

/** The transactional table service of the platform. */
export interface Table {
    read(key: string): Promise<Result<Row | undefined, TableError>>;
    scan(prefix: string, after: string | undefined, limit: number): Promise<Result<Page, TableError>>;
    /** Commits the transaction and returns the new versions of the rows that were put. */
    commit(transaction: Transaction): Promise<Result<Readonly<Record<string, number>>, TableError>>;
}
