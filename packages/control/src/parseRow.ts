import type { z } from "zod";

/** The value of a row as its schema has it; undefined when it is of another form. */
export const parseRow = <S extends z.ZodType>(schema: S, value: string): z.output<S> | undefined => {
    try {
        const parsed = schema.safeParse(JSON.parse(value));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
};
