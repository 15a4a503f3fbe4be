import type { Result } from "true-myth";
import * as z from "zod";

/** A row of the platform's table; each write increments its version. */
export const rowSchema = z.object({ key: z.string(), version: z.number().int().positive(), value: z.unknown() });
export type Row = z.infer<typeof rowSchema>;

/** Requires that a row has the given version; version 0 requires that the row does not exist. */
export const versionCheckSchema = z.object({ key: z.string(), version: z.number().int().nonnegative() });
export type VersionCheck = z.infer<typeof versionCheckSchema>;

/** Conditional writes that are committed atomically. */
export const transactionSchema = z.object({
    /**
     * Unique for each logical write, so that its outcome can be looked up after a lost response. The table's first
     * answer to a write id is final: a duplicate that arrives later has no effect.
     */
    writeId: z.string().min(1),
    checks: z.array(versionCheckSchema).default([]),
    puts: z.array(z.object({ key: z.string().min(1), value: z.unknown() })).default([]),
    deletes: z.array(z.string()).default([]),
});
export type Transaction = z.infer<typeof transactionSchema>;

/** A page of a scan in key order; the next page starts after the key `next`. */
export const scanPageSchema = z.object({ rows: z.array(rowSchema), next: z.string().optional() });
export type ScanPage = z.infer<typeof scanPageSchema>;

export type TableError =
    /** A version check failed; nothing was written. */
    | { readonly kind: "conflict"; readonly keys: readonly string[]; }
    /** The table was unavailable; nothing was written. */
    | { readonly kind: "unavailable"; readonly detail: string; }
    /** The response was lost and the lookup by write id failed too; the transaction may have been committed. */
    | { readonly kind: "unclear"; readonly detail: string; };

/** The platform's transactional table service. */
export interface Table {
    read(key: string): Promise<Result<Row | undefined, TableError>>;
    scan(prefix: string, afterKey: string | undefined, limit: number): Promise<Result<ScanPage, TableError>>;
    /** Commits the transaction and returns the new versions of the rows that were put. */
    commit(transaction: Transaction): Promise<Result<Readonly<Record<string, number>>, TableError>>;
}
