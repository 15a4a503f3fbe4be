import { Result } from "true-myth";
import type { HttpClientOptions } from "./httpClient.js";
import { errorDetail, HttpClient, parseResponse } from "./httpClient.js";
import type { ObjectStore, ObjectStoreError } from "./objectStore.js";
import { putResponseSchema } from "./objectStore.js";

/** HTTP client of the platform's object store. */
export class HttpObjectStore implements ObjectStore {
    private readonly client: HttpClient;

    constructor(options: HttpClientOptions) {
        this.client = new HttpClient(options);
    }

    async put(key: string, content: string): Promise<Result<undefined, ObjectStoreError>> {
        const response = await this.client.send({ method: "PUT", path: objectPath(key), body: content });
        if (response.isErr) {
            return unavailableError(response.error.detail);
        }
        if (response.value.status !== 200) {
            return unavailableError(errorDetail(response.value));
        }
        const stored = parseResponse(putResponseSchema, response.value);
        return stored.isOk && stored.value.key === key ? Result.ok(undefined) : unavailableError("broken answer");
    }

    async get(key: string): Promise<Result<string, ObjectStoreError>> {
        const response = await this.client.send({ method: "GET", path: objectPath(key) });
        if (response.isErr) {
            return unavailableError(response.error.detail);
        }
        const { status, text } = response.value;
        if (status === 404) {
            return Result.err({ kind: "missing", key });
        }
        return status === 200 ? Result.ok(text) : unavailableError(errorDetail(response.value));
    }

    /** Closes all connections after their pending requests have completed. */
    close(): Promise<void> {
        return this.client.close();
    }
}

const objectPath = (key: string): string => `/objects?key=${encodeURIComponent(key)}`;

const unavailableError = <T>(detail: string): Result<T, ObjectStoreError> =>
    Result.err({ kind: "unavailable", detail });
