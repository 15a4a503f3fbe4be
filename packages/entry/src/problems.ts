import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { MessageData } from "@persimmonpitch/findings/messageTable.js";
import { formatMessage } from "@persimmonpitch/findings/messageTable.js";
import type { Ran } from "@persimmonpitch/schema/job.js";
import type { FindingBody, Problem } from "@persimmonpitch/schema/problem.js";
import type { ZodError } from "zod";

interface ProblemDefinition {
    readonly status: number;
    readonly title: string;
    readonly detail: string;
    readonly ran: Ran;
    readonly retryAfterMs?: Millis;
}

/** A process polls the configuration every second, and load balancers detect a process that shuts down as quickly. */
const PROCESS_RETRY_AFTER_MS: Millis = 1_000;

/** Definitions of all problems that the API returns, by stable code; `{name}` in a detail is a placeholder. */
const PROBLEMS = {
    invalidBody: { status: 400, title: "Invalid body", detail: "The body does not match its schema.", ran: "no" },
    unauthenticated: {
        status: 401,
        title: "Unauthenticated",
        detail: "The bearer token is missing or unknown.",
        ran: "no",
    },
    forbidden: { status: 403, title: "Forbidden", detail: "The token does not allow this call.", ran: "no" },
    notFound: { status: 404, title: "Not found", detail: "There is no {what}.", ran: "no" },
    keyTaken: {
        status: 409,
        title: "Request key in use",
        detail: "The request key {key} names another request.",
        ran: "no",
    },
    duplicateRequest: {
        status: 409,
        title: "Duplicate request",
        detail: "A non-idempotent request with the key {key} was claimed before as {requestId}.",
        ran: "unknown",
    },
    versionConflict: {
        status: 412,
        title: "Version conflict",
        detail: "The configuration is at version {currentVersion}; the call was made for version {readVersion}.",
        ran: "no",
    },
    versionRequired: {
        status: 428,
        title: "Version required",
        detail: "Name the version that was read in an If-Match header.",
        ran: "no",
    },
    bodyTooLarge: { status: 413, title: "Body too large", detail: "The body is larger than 1 MiB.", ran: "no" },
    invalidConfiguration: {
        status: 422,
        title: "Invalid configuration",
        detail: "The configuration has {count} findings.",
        ran: "no",
    },
    queueFull: {
        status: 429,
        title: "Queue full",
        detail: "The team has {limit} jobs waiting, which is its limit.",
        ran: "no",
    },
    overloaded: { status: 503, title: "Overloaded", detail: "{detail}", ran: "no" },
    executorFailed: { status: 502, title: "Executor failed", detail: "{detail}", ran: "unknown" },
    timeout: { status: 504, title: "Timeout", detail: "{detail}", ran: "unknown" },
    storeUnavailable: {
        status: 503,
        title: "Store unavailable",
        detail: "The platform's table cannot be reached, so the request could not be made durable.",
        ran: "no",
    },
    storeUnclear: {
        status: 503,
        title: "Outcome unclear",
        detail: "The platform's table did not confirm the write. Repeat the request with the same request key.",
        ran: "unknown",
    },
    noConfiguration: {
        status: 503,
        title: "No configuration",
        detail: "This process has no configuration yet and cannot check the request.",
        ran: "no",
        retryAfterMs: PROCESS_RETRY_AFTER_MS,
    },
    shuttingDown: {
        status: 503,
        title: "Shutting down",
        detail: "This process takes no new requests.",
        ran: "no",
        retryAfterMs: PROCESS_RETRY_AFTER_MS,
    },
    internal: { status: 500, title: "Internal error", detail: "An unexpected error occurred.", ran: "unknown" },
} as const satisfies Readonly<Record<string, ProblemDefinition>>;

/** Code of a problem; callers may depend on it. */
export type ProblemCode = keyof typeof PROBLEMS;

/** Ends the handling of a request with an RFC 9457 problem as the answer. */
export class ProblemError extends Error {
    readonly problem: Problem;

    constructor(code: ProblemCode, data: MessageData = {}, extra: Partial<Problem> = {}) {
        const { status, title, detail, ran, ...retry }: ProblemDefinition = PROBLEMS[code];
        const text = formatMessage(detail, data);
        super(text);
        this.problem = { type: "about:blank", title, status, detail: text, code, ran, ...retry, ...extra };
    }
}

/** Converts the errors of a schema to findings with the paths of the invalid fields. */
export const toFindings = ({ issues }: ZodError): FindingBody[] =>
    issues.map(({ code, message, path }) => ({ messageId: code, message, place: { path: path.join(".") } }));
