import type * as z from "zod";

/** Parses the value of a row. Returns `undefined` if it does not match the schema. */
export const parseRow = <S extends z.ZodType>(schema: S, value: string): z.output<S> | undefined => {
    try {
        const parsed = schema.safeParse(JSON.parse(value));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
};
