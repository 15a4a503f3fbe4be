import type * as z from "zod";

/** Parses JSON text against a schema; `undefined` when either does not fit. */
export const parseJson = <Schema extends z.ZodType>(schema: Schema, text: string): z.infer<Schema> | undefined => {
    try {
        const parsed = schema.safeParse(JSON.parse(text));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
};
