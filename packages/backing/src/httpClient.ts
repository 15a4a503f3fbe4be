import { WAIT_OVER } from "@persimmonpitch/clock/abortReasons.js";
import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { withTimeoutSignal } from "@persimmonpitch/clock/withTimeoutSignal.js";
import { Result } from "true-myth";
import { Agent } from "undici";
import type * as z from "zod";
import { errorResponseSchema } from "./tableProtocol.js";

/** Options of an HTTP client for one platform service. */
export interface HttpClientOptions {
    readonly baseUrl: string;
    readonly clock: Clock;
    /** Default timeout of a request, including reading the response body. */
    readonly timeoutMs: Millis;
    /** Random source for backoff jitter, from 0 to 1. */
    readonly random?: () => number;
}

/** A request to the service. */
export interface HttpRequest {
    readonly method: "GET" | "POST" | "PUT";
    readonly path: string;
    /** Sent as JSON, or as plain text if it is a string. */
    readonly body?: unknown;
    readonly timeoutMs?: Millis;
    /** Aborts the request; replaces the timeout. */
    readonly signal?: AbortSignal;
}

/** A response whose body is not yet parsed. */
export interface HttpResponse {
    readonly status: number;
    readonly text: string;
}

/** A request that failed without a response. */
export interface TransportError {
    /** Whether the service may have received the request. */
    readonly mayHaveBeenSent: boolean;
    readonly detail: string;
}

const KEEP_ALIVE_MS = 10_000;
const CONNECT_TIMEOUT_MS = 2_000;
const MAX_CONNECTIONS = 16;

/** Codes of errors raised before a connection is established, so nothing of the request was sent. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "ENOTFOUND",
    "UND_ERR_CONNECT_TIMEOUT",
]);

const errorCodeOf = (error: unknown): string =>
    error instanceof Error && "code" in error && typeof error.code === "string" ? error.code : "";

const encodeBody = (body: unknown): { headers: Record<string, string>; body: string; } | undefined => {
    if (body === undefined) {
        return undefined;
    }
    return typeof body === "string"
        ? { headers: { "content-type": "text/plain" }, body }
        : { headers: { "content-type": "application/json" }, body: JSON.stringify(body) };
};

/** Sends requests to one service over a pool of keep-alive connections. */
export class HttpClient {
    private readonly agent = new Agent({
        connections: MAX_CONNECTIONS,
        keepAliveTimeout: KEEP_ALIVE_MS,
        connect: { timeout: CONNECT_TIMEOUT_MS },
        // Each request has its own timeout or signal; a direct request may take longer than undici's default of 300 s.
        headersTimeout: 0,
        bodyTimeout: 0,
    });

    constructor(private readonly options: HttpClientOptions) {}

    /** Sends a request and reads the whole response. */
    async send({ method, path, body, timeoutMs, signal }: HttpRequest): Promise<Result<HttpResponse, TransportError>> {
        const requestTimeoutMs = timeoutMs ?? this.options.timeoutMs;
        const request = async (abortSignal: AbortSignal): Promise<HttpResponse> => {
            const response = await this.agent.request({
                origin: this.options.baseUrl,
                method,
                path,
                signal: abortSignal,
                ...encodeBody(body),
            });
            return { status: response.statusCode, text: await response.body.text() };
        };
        try {
            const { clock } = this.options;
            return Result.ok(
                await (signal === undefined
                    ? withTimeoutSignal({ clock, timeoutMs: requestTimeoutMs }, request)
                    : request(signal)),
            );
        }
        catch (error) {
            const isTimeout = signal === undefined && error === WAIT_OVER;
            const detail = isTimeout ? `no answer within ${requestTimeoutMs} ms` : String(error);
            return Result.err({ mayHaveBeenSent: !CONNECT_ERROR_CODES.has(errorCodeOf(error)), detail });
        }
    }

    /** Closes all connections after their pending requests have completed. */
    async close(): Promise<void> {
        await this.agent.close();
    }
}

/** Parses the JSON body of a response; fails if the body does not match the schema. */
export const parseResponse = <Schema extends z.ZodType>(
    schema: Schema,
    { status, text }: HttpResponse,
): Result<z.infer<Schema>, string> => {
    try {
        const parsed = schema.safeParse(JSON.parse(text));
        return parsed.success ? Result.ok(parsed.data) : Result.err(`broken answer with status ${status}`);
    }
    catch {
        return Result.err(`broken answer with status ${status}`);
    }
};

/** Returns the detail of an error response, or says that its body is malformed. */
export const errorDetail = (response: HttpResponse): string =>
    parseResponse(errorResponseSchema, response).match({
        Ok: ({ detail }) => detail,
        Err: parseError => parseError,
    });
