import { WAIT_OVER } from "@persimmonpitch/clock/abortReasons.js";
import { systemClock } from "@persimmonpitch/clock/systemClock.js";
import { withTimeoutSignal } from "@persimmonpitch/clock/withTimeoutSignal.js";
import { Pool } from "undici";

/** Connections to one address. */
export type HttpPool = Pool;

/** Outcome of an HTTP call. */
export type HttpOutcome =
    | { readonly kind: "answered"; readonly status: number; readonly body: unknown; }
    /** The connection could not be opened, so nothing was sent. */
    | { readonly kind: "notSent"; readonly detail: string; }
    /** No complete response was received; the server may have processed the request. */
    | { readonly kind: "unanswered"; readonly detail: string; };

/** Request to send, and how long to wait for its response. */
export interface HttpCall {
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: unknown;
    readonly timeoutMs: number;
    readonly signal?: AbortSignal | undefined;
}

const CONNECT_TIMEOUT_MS = 600;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

/** Opens a connection pool for an address of the form HOST:PORT; throws if the address is not valid in a URL. */
export const openPool = (address: string, connections: number): HttpPool =>
    new Pool(`http://${address}`, {
        connections,
        connect: { timeout: CONNECT_TIMEOUT_MS },
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        headersTimeout: 0,
        bodyTimeout: 0,
    });

const NOT_SENT_CODES = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH", "ENETUNREACH"]);

const errorCode = (err: unknown): string =>
    typeof err === "object" && err !== null && "code" in err && typeof err.code === "string" ? err.code : "";

const parseJson = (text: string): unknown => {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
};

const sendRequest = async (
    pool: HttpPool,
    { method, path, headers, body }: HttpCall,
    signal: AbortSignal,
): Promise<HttpOutcome> => {
    const res = await pool.request({
        method,
        path,
        headers: { ...(body === undefined ? {} : { "content-type": "application/json" }), ...headers },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        signal,
    });
    return { kind: "answered", status: res.statusCode, body: parseJson(await res.body.text()) };
};

const describeError = (err: unknown, { signal, timeoutMs }: HttpCall): string => {
    if (err === WAIT_OVER) {
        return signal?.aborted === true ? "The call was aborted." : `No response within ${timeoutMs} ms.`;
    }
    return err instanceof Error ? err.message : String(err);
};

/**
 * Sends a request, with a JSON body if there is one. A timeout closes the connection, because the other side may never
 * send anything on it again.
 */
export const callHttp = async (pool: HttpPool, call: HttpCall): Promise<HttpOutcome> => {
    const { timeoutMs, signal } = call;
    try {
        return await withTimeoutSignal(
            { clock: systemClock, timeoutMs, signal },
            callSignal => sendRequest(pool, call, callSignal),
        );
    }
    catch (err) {
        const code = errorCode(err);
        const detail = describeError(err, call);
        return NOT_SENT_CODES.has(code)
            ? { kind: "notSent", detail }
            : { kind: "unanswered", detail };
    }
};
