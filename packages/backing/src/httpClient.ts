import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { Result } from "true-myth";
import { Agent } from "undici";
import type { z } from "zod";
import { problemSchema } from "./tableProtocol.js";

/** Settings of a client of one platform service. */
export interface HttpClientOptions {
    readonly baseUrl: string;
    readonly clock: Clock;
    /** Longest time for one call. */
    readonly timeoutMs: Millis;
    /** Source of jitter, from 0 to 1. */
    readonly random?: () => number;
}

/** One call to a service. */
export interface HttpCall {
    readonly method: "GET" | "POST" | "PUT";
    readonly path: string;
    /** Sent as JSON, or as plain text when it is a string. */
    readonly body?: unknown;
    readonly timeoutMs?: Millis;
    /** Ends the call in place of the timeout. */
    readonly signal?: AbortSignal;
}

/** The answer to a call, not yet parsed. */
export interface HttpAnswer {
    readonly status: number;
    readonly text: string;
}

/** Why a call has no answer. */
export interface TransportError {
    /** Whether the service may have received the call. */
    readonly mayBeSent: boolean;
    readonly detail: string;
}

const KEEP_ALIVE_MS = 10_000;
const CONNECT_TIMEOUT_MS = 2_000;
const MAX_CONNECTIONS = 16;

/** Errors raised before a request is written to a connection. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "ENOTFOUND",
    "UND_ERR_CONNECT_TIMEOUT",
]);

const codeOf = (error: unknown): string =>
    error instanceof Error && "code" in error && typeof error.code === "string" ? error.code : "";

const contentOf = (body: unknown): { headers: Record<string, string>; body: string; } | undefined => {
    if (body === undefined) {
        return undefined;
    }
    return typeof body === "string"
        ? { headers: { "content-type": "text/plain" }, body }
        : { headers: { "content-type": "application/json" }, body: JSON.stringify(body) };
};

/** Sends calls to one service over connections that are kept alive. */
export class HttpClient {
    private readonly agent = new Agent({
        connections: MAX_CONNECTIONS,
        keepAliveTimeout: KEEP_ALIVE_MS,
        connect: { timeout: CONNECT_TIMEOUT_MS },
        // Calls end by their own timeout or signal; a direct request may take longer than the library's 300 s.
        headersTimeout: 0,
        bodyTimeout: 0,
    });

    constructor(private readonly options: HttpClientOptions) {}

    /** Sends one call and waits for the whole answer. */
    async call({ method, path, body, timeoutMs, signal }: HttpCall): Promise<Result<HttpAnswer, TransportError>> {
        const settled = new AbortController();
        const timeout = timeoutMs ?? this.options.timeoutMs;
        const end = signal ?? this.abortAfter(timeout, settled.signal);
        try {
            const answer = await this.agent.request({
                origin: this.options.baseUrl,
                method,
                path,
                signal: end,
                ...contentOf(body),
            });
            return Result.ok({ status: answer.statusCode, text: await answer.body.text() });
        }
        catch (error) {
            const detail = end.aborted && signal === undefined ? `no answer within ${timeout} ms` : String(error);
            return Result.err({ mayBeSent: !NOT_SENT_CODES.has(codeOf(error)), detail });
        }
        finally {
            settled.abort();
        }
    }

    private abortAfter(timeout: Millis, settled: AbortSignal): AbortSignal {
        const abort = new AbortController();
        void this.options.clock.sleep(timeout, settled).then(() => {
            abort.abort();
        });
        return abort.signal;
    }

    /** Ends all connections once their calls are answered. */
    async close(): Promise<void> {
        await this.agent.close();
    }
}

/** Parses the JSON body of an answer; a body that does not fit the schema is an error. */
export const parseAnswer = <Schema extends z.ZodType>(
    schema: Schema,
    { status, text }: HttpAnswer,
): Result<z.infer<Schema>, string> => {
    try {
        const parsed = schema.safeParse(JSON.parse(text));
        return parsed.success ? Result.ok(parsed.data) : Result.err(`broken answer with status ${status}`);
    }
    catch {
        return Result.err(`broken answer with status ${status}`);
    }
};

/** Describes an error answer. */
export const problemDetail = (answer: HttpAnswer): string =>
    parseAnswer(problemSchema, answer).match({
        Ok: ({ detail }) => detail,
        Err: broken => broken,
    });
