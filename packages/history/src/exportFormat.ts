import { digestSchema, identifierSchema, millisSchema } from "@persimmonpitch/schema/identifier.js";
import * as z from "zod";

/** The last line of an export. */
export const manifestSchema = z.object({
    team: identifierSchema,
    exportedAt: millisSchema,
    records: z.number().int().nonnegative(),
    jobs: z.number().int().nonnegative(),
    requests: z.number().int().nonnegative(),
    /** Pages read from the table. */
    pages: z.number().int().nonnegative(),
    /** Digest of all lines before this one, each with its line feed. */
    sha256: digestSchema,
});
export type Manifest = z.infer<typeof manifestSchema>;

export const manifestLineSchema = z.strictObject({ manifest: manifestSchema });
