import type * as z from "zod";

/** Schemas of the parameters and the result of one method. */
export interface Method {
    readonly params: z.ZodType;
    readonly result: z.ZodType;
}

/** The methods that one side of a connection serves, keyed by name. */
export type MethodTable = Readonly<Record<string, Method>>;

/** Parsed parameters, as a handler of the method receives them. */
export type ParamsOf<M extends Method> = z.output<M["params"]>;

/** Parsed result, as a caller of the method receives it. */
export type ResultOf<M extends Method> = z.output<M["result"]>;

/** One handler for each method of a table; a table with a missing handler does not compile. */
export type HandlerTable<T extends MethodTable> = {
    readonly [Name in keyof T]: (params: ParamsOf<T[Name]>) => Promise<ResultOf<T[Name]>>;
};
