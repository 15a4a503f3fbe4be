import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { ConfigHolder } from "@persimmonpitch/control/configHolder.js";
import type { Logger, LogLevel } from "@persimmonpitch/logging/logger.js";
import type { Result } from "true-myth/result";
import type { AuthorizedRequest, GatewayError, IncomingRequest } from "./requests.js";

/** Operations on jobs that are logged. */
export type RequestOperation = "submit" | "read" | "cancel";

export interface RequestLogOptions {
    readonly logger: Logger;
    readonly clock: Clock;
    readonly config: ConfigHolder;
    /** Time since the last response of the store to this process; undefined before the first one. */
    readonly timeSinceStoreResponseMs: () => Millis | undefined;
}

/** Failures of the system are warnings, so that what a requester may complain about stands out. */
const LEVEL_BY_ERROR: Readonly<Record<GatewayError, LogLevel>> = {
    unavailable: "warn",
    unclear: "warn",
    unknownQueue: "info",
    unknownKey: "info",
    unknownJob: "info",
    cancelled: "info",
    idInUse: "info",
    tooManyCancellations: "warn",
    overloaded: "info",
    rejected: "info",
};

/** Successful reads change nothing and are not logged. */
const IS_SUCCESS_LOGGED: Readonly<Record<RequestOperation, boolean>> = {
    submit: true,
    cancel: true,
    read: false,
};

/** Logs each decision on a request, with the configuration version and the age of the store's last response. */
export class RequestLog {
    constructor(private readonly options: RequestLogOptions) {}

    /** Performs an operation and logs its result and duration. */
    async runLogged<T>(
        operation: RequestOperation,
        { jobId, queue, team }: AuthorizedRequest,
        perform: () => Promise<Result<T, GatewayError>>,
    ): Promise<Result<T, GatewayError>> {
        const { clock, logger, timeSinceStoreResponseMs } = this.options;
        const startedAt = clock.now();
        const result = await perform();
        if (result.isErr || IS_SUCCESS_LOGGED[operation]) {
            const timeSinceResponseMs = timeSinceStoreResponseMs();
            logger.log(result.isErr ? LEVEL_BY_ERROR[result.error] : "info", "request.answered", {
                call: operation,
                job: jobId,
                queue: queue.name,
                team,
                answer: result.isErr ? result.error : "ok",
                ms: Math.round(clock.now() - startedAt),
                storeAgeMs: timeSinceResponseMs === undefined ? undefined : Math.round(timeSinceResponseMs),
                configVersion: this.options.config.current?.version,
            });
        }
        return result;
    }

    /** Logs a request that was not authorized. The API key is omitted. */
    logDenied({ host, path }: IncomingRequest, error: GatewayError): void {
        const { config, logger } = this.options;
        logger.log(LEVEL_BY_ERROR[error], "request.denied", {
            host,
            path,
            answer: error,
            configVersion: config.current?.version,
        });
    }
}
