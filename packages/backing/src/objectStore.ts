import type { Result } from "true-myth";
import * as z from "zod";

/** Response to `PUT /objects`. */
export const putResponseSchema = z.object({ key: z.string() });

export type ObjectStoreError =
    | { readonly kind: "unavailable"; readonly detail: string; }
    | { readonly kind: "missing"; readonly key: string; };

/** The platform's object store. */
export interface ObjectStore {
    put(key: string, content: string): Promise<Result<undefined, ObjectStoreError>>;
    get(key: string): Promise<Result<string, ObjectStoreError>>;
}
