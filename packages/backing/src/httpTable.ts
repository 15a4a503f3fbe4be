import { backoffDelay } from "@persimmonpitch/clock/backoff.js";
import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { CircuitBreakerPolicy } from "cockatiel";
import { BrokenCircuitError, circuitBreaker, ConsecutiveBreaker, handleType } from "cockatiel";
import { Result } from "true-myth";
import type * as z from "zod";
import type { HttpClientOptions, HttpRequest, HttpResponse } from "./httpClient.js";
import { errorDetail, HttpClient, parseResponse } from "./httpClient.js";
import { RetryBudget } from "./retryBudget.js";
import type { Row, ScanPage, Table, TableError, Transaction } from "./table.js";
import { rowSchema, scanPageSchema } from "./table.js";
import {
    commitResponseSchema,
    conflictResponseSchema,
    errorResponseSchema,
    unavailableResponseSchema,
} from "./tableProtocol.js";

/** Options of `HttpTable`. */
export interface HttpTableOptions extends HttpClientOptions {
    readonly maxRetries?: number;
    /** Number of consecutive failures that opens the circuit breaker. */
    readonly breakerFailureThreshold?: number;
    /** Time until an open circuit breaker lets one trial request through. */
    readonly breakerOpenMs?: Millis;
}

const DEFAULT_MAX_RETRIES = 3;
const DEFAULT_BREAKER_FAILURE_THRESHOLD = 5;
const DEFAULT_BREAKER_OPEN_MS = 1_000;
const BACKOFF = { baseMs: 50, maxMs: 1_000 };

type RowVersions = Readonly<Record<string, number>>;

/** A request that was not sent or got no usable response; a response with status 5xx is not usable. */
class RequestFailure extends Error {
    constructor(readonly mayHaveBeenProcessed: boolean, readonly detail: string, readonly isRetryable = true) {
        super(detail);
    }
}

/** Outcome of one request of a commit: the table's answer, or a failure that may have committed the transaction. */
type CommitRequestOutcome =
    | { readonly kind: "answered"; readonly result: Result<RowVersions, TableError>; }
    | {
        readonly kind: "failed";
        readonly mayHaveCommitted: boolean;
        readonly isRetryable: boolean;
        readonly detail: string;
    };

/** HTTP client of the platform's table, with retries and a circuit breaker. */
export class HttpTable implements Table {
    private readonly client: HttpClient;
    private readonly retryBudget = new RetryBudget();
    private readonly breaker: CircuitBreakerPolicy;
    private readonly maxRetries: number;
    private readonly random: () => number;

    constructor(private readonly options: HttpTableOptions) {
        this.client = new HttpClient(options);
        this.maxRetries = options.maxRetries ?? DEFAULT_MAX_RETRIES;
        this.random = options.random ?? Math.random;
        this.breaker = circuitBreaker(handleType(RequestFailure), {
            halfOpenAfter: options.breakerOpenMs ?? DEFAULT_BREAKER_OPEN_MS,
            breaker: new ConsecutiveBreaker(options.breakerFailureThreshold ?? DEFAULT_BREAKER_FAILURE_THRESHOLD),
        });
    }

    async read(key: string): Promise<Result<Row | undefined, TableError>> {
        const result = await this.getWithRetries(`/row?key=${encodeURIComponent(key)}`);
        return result.andThen(response =>
            response.status === 404 ? Result.ok(undefined) : parseReadResponse(rowSchema, response)
        );
    }

    async scan(prefix: string, afterKey: string | undefined, limit: number): Promise<Result<ScanPage, TableError>> {
        const query = new URLSearchParams({ prefix, limit: String(limit) });
        if (afterKey !== undefined) {
            query.set("after", afterKey);
        }
        const result = await this.getWithRetries(`/rows?${query.toString()}`);
        return result.andThen(response => parseReadResponse(scanPageSchema, response));
    }

    /**
     * Commits a transaction; if a response is lost, looks up the outcome by the write id.
     * A request whose response was lost may still reach the table later, so the transaction is resent only under the
     * same write id, for which the table's first answer is final.
     */
    async commit(transaction: Transaction): Promise<Result<RowVersions, TableError>> {
        this.retryBudget.deposit();
        let mayHaveCommitted = false;
        for (let retryCount = 0;; retryCount += 1) {
            const outcome: CommitRequestOutcome = mayHaveCommitted
                ? await this.lookUpOrResend(transaction)
                : await this.sendTransaction(transaction);
            if (outcome.kind === "answered") {
                return outcome.result;
            }
            const isFirstLostResponse = outcome.mayHaveCommitted && !mayHaveCommitted;
            mayHaveCommitted ||= outcome.mayHaveCommitted;
            // The first lookup is not charged to the retry budget: without it the caller would not know the outcome.
            const canRetry = outcome.isRetryable && retryCount < this.maxRetries
                && (isFirstLostResponse || this.retryBudget.tryWithdraw());
            if (!canRetry) {
                return Result.err({ kind: mayHaveCommitted ? "unclear" : "unavailable", detail: outcome.detail });
            }
            await this.waitBeforeRetry(retryCount);
        }
    }

    /** Closes all connections after their pending requests have completed. */
    close(): Promise<void> {
        return this.client.close();
    }

    private async lookUpOrResend(transaction: Transaction): Promise<CommitRequestOutcome> {
        const path = `/writes/${encodeURIComponent(transaction.writeId)}`;
        const response = await this.sendThroughBreaker({ method: "GET", path });
        if (response.isErr) {
            return failedOutcome(response.error, true);
        }
        return response.value.status === 404 ? this.sendTransaction(transaction) : parseCommitResponse(response.value);
    }

    private async sendTransaction(transaction: Transaction): Promise<CommitRequestOutcome> {
        const response = await this.sendThroughBreaker({ method: "POST", path: "/transactions", body: transaction });
        return response.match({
            Ok: parseCommitResponse,
            Err: failure => failedOutcome(failure, failure.mayHaveBeenProcessed),
        });
    }

    /** Sends a GET request and retries it within the retry budget. */
    private async getWithRetries(path: string): Promise<Result<HttpResponse, TableError>> {
        this.retryBudget.deposit();
        for (let retryCount = 0;; retryCount += 1) {
            const response = await this.sendThroughBreaker({ method: "GET", path });
            if (response.isOk) {
                return Result.ok(response.value);
            }
            const canRetry = response.error.isRetryable && retryCount < this.maxRetries
                && this.retryBudget.tryWithdraw();
            if (!canRetry) {
                return Result.err({ kind: "unavailable", detail: response.error.detail });
            }
            await this.waitBeforeRetry(retryCount);
        }
    }

    /** Sends a request through the circuit breaker; a response with status 5xx counts as a failure. */
    private async sendThroughBreaker(request: HttpRequest): Promise<Result<HttpResponse, RequestFailure>> {
        try {
            return Result.ok(await this.breaker.execute(() => this.sendOrThrow(request)));
        }
        catch (error) {
            if (error instanceof RequestFailure) {
                return Result.err(error);
            }
            if (error instanceof BrokenCircuitError) {
                return Result.err(new RequestFailure(false, "the circuit breaker of the table is open", false));
            }
            throw error;
        }
    }

    private async sendOrThrow(request: HttpRequest): Promise<HttpResponse> {
        const response = await this.client.send(request);
        if (response.isErr) {
            throw new RequestFailure(response.error.mayHaveBeenSent, response.error.detail);
        }
        const { status } = response.value;
        if (status >= 500) {
            const isKnownNotWritten = status === 503 && parseResponse(unavailableResponseSchema, response.value).isOk;
            throw new RequestFailure(!isKnownNotWritten, errorDetail(response.value));
        }
        return response.value;
    }

    private waitBeforeRetry(retryCount: number): Promise<void> {
        return this.options.clock.sleep(backoffDelay(BACKOFF, retryCount, this.random));
    }
}

const parseReadResponse = <Schema extends z.ZodType>(
    schema: Schema,
    response: HttpResponse,
): Result<z.infer<Schema>, TableError> =>
    response.status === 200
        ? parseResponse(schema, response).mapErr(detail => ({ kind: "unavailable", detail }))
        : Result.err({ kind: "unavailable", detail: errorDetail(response) });

const failedOutcome = ({ detail, isRetryable }: RequestFailure, mayHaveCommitted: boolean): CommitRequestOutcome => ({
    kind: "failed",
    mayHaveCommitted,
    isRetryable,
    detail,
});

type CommitResponseParser = (response: HttpResponse) => Result<Result<RowVersions, TableError>, string>;

/** Commit response parsers by status; any other status means that the table rejected the transaction as invalid. */
const COMMIT_RESPONSE_PARSERS: Readonly<Partial<Record<number, CommitResponseParser>>> = {
    200: response => parseResponse(commitResponseSchema, response).map(({ versions }) => Result.ok(versions)),
    409: response =>
        parseResponse(conflictResponseSchema, response).map(({ keys }) => Result.err({ kind: "conflict", keys })),
};

const parseRejection: CommitResponseParser = response =>
    parseResponse(errorResponseSchema, response).map(({ detail }) => Result.err({ kind: "unavailable", detail }));

/** Parses the response to a commit; after a malformed response the transaction may have been committed. */
const parseCommitResponse = (response: HttpResponse): CommitRequestOutcome =>
    (COMMIT_RESPONSE_PARSERS[response.status] ?? parseRejection)(response).match({
        Ok: (result): CommitRequestOutcome => ({ kind: "answered", result }),
        Err: detail => failedOutcome(new RequestFailure(true, detail), true),
    });
