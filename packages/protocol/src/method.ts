import type { z } from "zod";

/** Schemas of the parameters and the result of one method. */
export interface Method {
    readonly params: z.ZodType;
    readonly result: z.ZodType;
}

/** The methods that one side of a connection serves, keyed by name. */
export type MethodTable = Readonly<Record<string, Method>>;

/** What a handler of the method receives. */
export type ParamsOf<M extends Method> = z.output<M["params"]>;

/** What a caller of the method receives. */
export type ResultOf<M extends Method> = z.output<M["result"]>;

/** One handler for each method of a table; a missing one does not compile. */
export type HandlerTable<T extends MethodTable> = {
    readonly [Name in keyof T]: (params: ParamsOf<T[Name]>) => Promise<ResultOf<T[Name]>>;
};
