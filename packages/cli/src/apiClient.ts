import { problemSchema } from "@persimmonpitch/schema/problem.js";
import { err, ok } from "true-myth/result";
import type { Result } from "true-myth/result";
import { Agent, request } from "undici";
import type { Dispatcher } from "undici";
import type * as z from "zod";
import type { CliFailure, FailedEntry } from "./cliFailure.js";
import type { CliSettings } from "./cliSettings.js";

/** One request to an entry. */
export interface ApiRequest {
    readonly method: "GET" | "POST" | "PUT";
    readonly path: string;
    readonly body?: unknown;
    readonly ifMatch?: string;
    /** Whether the request may be sent again after it may have been received, because it has the same effect. */
    readonly isRepeatable: boolean;
    /** Time beyond the usual that the server may take, for calls that wait. */
    readonly extraMs?: number;
}

/** A parsed answer with the version of its ETag, if it has one. */
export interface ApiAnswer<T> {
    readonly value: T;
    readonly version?: number;
}

/** A successful answer whose body is still to be read. */
export interface ApiStream {
    readonly url: string;
    readonly body: Dispatcher.ResponseData["body"];
}

/** Calls of the HTTP API; the entries are tried in their order. */
export interface ApiClient {
    readonly call: <S extends z.ZodType>(
        request: ApiRequest,
        schema: S,
    ) => Promise<Result<ApiAnswer<z.infer<S>>, CliFailure>>;
    readonly stream: (request: ApiRequest) => Promise<Result<ApiStream, CliFailure>>;
    readonly close: () => Promise<void>;
}

interface Received {
    readonly url: string;
    readonly response: Dispatcher.ResponseData;
    /** Whether an entry tried earlier may have received the request as well. */
    readonly mayHaveRunElsewhere: boolean;
}

/** Errors that arise before a connection stands, so that nothing can have been received. */
const NOT_CONNECTED: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EAI_AGAIN",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "ENOTFOUND",
    "UND_ERR_CONNECT_TIMEOUT",
]);

const codeOf = (error: unknown): string =>
    error instanceof Error && "code" in error && typeof error.code === "string" ? error.code : "";

const detailOf = (error: unknown): string => {
    const message = error instanceof Error ? error.message : String(error);
    return message === "" ? codeOf(error) : message;
};

const parseJson = (text: string): unknown => {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
};

const versionOf = ({ headers }: Dispatcher.ResponseData): number | undefined => {
    const match = /^"(\d+)"$/.exec(String(headers.etag ?? ""));
    return match === null ? undefined : Number(match[1]);
};

const describeIssues = (error: z.ZodError): string =>
    error.issues.map(({ path, message }) => `${path.map(String).join(".")}: ${message}`).join("; ");

const readProblem = ({ url, response, mayHaveRunElsewhere }: Received, text: string): CliFailure => {
    const checked = problemSchema.safeParse(parseJson(text));
    if (!checked.success) {
        return {
            kind: "invalidAnswer",
            entry: { url, detail: `status ${response.statusCode} without problem details` },
        };
    }
    // This entry speaks for itself only: one tried earlier may have run the request although its answer was lost.
    const ran = mayHaveRunElsewhere && checked.data.ran === "no" ? "unknown" : checked.data.ran;
    return { kind: "problem", problem: { ...checked.data, ran } };
};

/** Opens a client; it holds connections until it is closed. */
export const createApiClient = (settings: CliSettings, signal: AbortSignal): ApiClient => {
    const dispatcher = new Agent({
        connect: { timeout: settings.connectTimeoutMs },
        // The answer may be a long stream, so only its silence is bounded.
        bodyTimeout: settings.answerTimeoutMs,
    });

    const sendTo = (base: string, { method, path, body, ifMatch, extraMs = 0 }: ApiRequest) =>
        request(new URL(path, base), {
            method,
            dispatcher,
            signal,
            headersTimeout: settings.answerTimeoutMs + extraMs,
            headers: {
                authorization: `Bearer ${settings.token}`,
                ...body === undefined ? {} : { "content-type": "application/json" },
                ...ifMatch === undefined ? {} : { "if-match": ifMatch },
            },
            body: body === undefined ? null : JSON.stringify(body),
        });

    const send = async (apiRequest: ApiRequest): Promise<Result<Received, CliFailure>> => {
        const failed: FailedEntry[] = [];
        // Once an entry may have received the request, "not run" can no longer be said.
        let mayHaveRun: FailedEntry | undefined;
        for (const url of settings.entries) {
            try {
                const response = await sendTo(url, apiRequest);
                const mayHaveRunElsewhere = mayHaveRun !== undefined && apiRequest.method !== "GET";
                return ok({ url, response, mayHaveRunElsewhere });
            }
            catch (error) {
                const entry = { url, detail: detailOf(error) };
                failed.push(entry);
                if (!NOT_CONNECTED.has(codeOf(error))) {
                    mayHaveRun = entry;
                }
                if (signal.aborted || (mayHaveRun !== undefined && !apiRequest.isRepeatable)) {
                    break;
                }
            }
        }
        return err(
            mayHaveRun === undefined || apiRequest.method === "GET"
                ? { kind: "unreachable", entries: failed }
                : { kind: "lostAnswer", entry: mayHaveRun },
        );
    };

    const readText = async (
        { url, response }: Received,
        { method }: ApiRequest,
    ): Promise<Result<string, CliFailure>> => {
        try {
            return ok(await response.body.text());
        }
        catch (error) {
            return err({
                kind: method === "GET" ? "invalidAnswer" : "lostAnswer",
                entry: { url, detail: `the answer broke off (${detailOf(error)})` },
            });
        }
    };

    const stream: ApiClient["stream"] = async apiRequest => {
        const received = await send(apiRequest);
        if (received.isErr) {
            return err(received.error);
        }
        const { url, response } = received.value;
        if (response.statusCode < 300) {
            return ok({ url, body: response.body });
        }
        const text = await readText(received.value, apiRequest);
        return text.andThen(problemText => err(readProblem(received.value, problemText)));
    };

    const call: ApiClient["call"] = async (apiRequest, schema) => {
        const received = await send(apiRequest);
        if (received.isErr) {
            return err(received.error);
        }
        const { url, response } = received.value;
        const text = await readText(received.value, apiRequest);
        if (text.isErr) {
            return err(text.error);
        }
        if (response.statusCode >= 300) {
            return err(readProblem(received.value, text.value));
        }
        const checked = schema.safeParse(parseJson(text.value));
        if (!checked.success) {
            return err({ kind: "invalidAnswer", entry: { url, detail: describeIssues(checked.error) } });
        }
        const version = versionOf(response);
        return ok(version === undefined ? { value: checked.data } : { value: checked.data, version });
    };

    return { call, stream, close: () => dispatcher.close() };
};
