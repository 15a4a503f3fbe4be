import type { Result } from "true-myth";
import { z } from "zod";

/** Answer to `PUT /objects`. */
export const storedSchema = z.object({ key: z.string() });

export type ObjectStoreError =
    | { readonly kind: "unavailable"; readonly detail: string; }
    | { readonly kind: "missing"; readonly key: string; };

/** The object store of the platform. */
export interface ObjectStore {
    put(key: string, content: string): Promise<Result<undefined, ObjectStoreError>>;
    get(key: string): Promise<Result<string, ObjectStoreError>>;
}
