import type { FastifyError, FastifyInstance, FastifyRequest } from "fastify";
import fastify from "fastify";
import { addAdminRoutes } from "./adminRoutes.js";
import type { ApiContext } from "./apiContext.js";
import { authenticate } from "./auth.js";
import { addDirectRequestRoutes } from "./directRequestRoutes.js";
import { addHistoryRoutes } from "./historyRoutes.js";
import { addJobRoutes } from "./jobRoutes.js";
import { ProblemError } from "./problems.js";
import { addPublicRoutes } from "./publicRoutes.js";

const MAX_BODY_BYTES = 1024 * 1024;

/** More than an installation's callers and operators open; a connection takes some 20 KB. */
const MAX_CONNECTIONS = 1_024;

/** A body of the largest size over a slow link arrives in this time. */
const REQUEST_TIMEOUT_MS = 120_000;

/** Bounds the time for which a caller that sends its headers slowly can occupy a connection. */
const HEADERS_TIMEOUT_MS = 10_000;
const MS_PER_SECOND = 1_000;

const toProblemError = (error: FastifyError | ProblemError): ProblemError => {
    if (error instanceof ProblemError) {
        return error;
    }
    if (error.statusCode === 413) {
        return new ProblemError("bodyTooLarge");
    }
    const isClientError = error.statusCode !== undefined && error.statusCode < 500;
    return isClientError
        ? new ProblemError("invalidBody", {}, { status: error.statusCode ?? 400, detail: error.message })
        : new ProblemError("internal");
};

/** Paths that need a token: all of the API except the schemas. */
const AUTHENTICATED_PATH = /^\/v1\/(?!schema$)/;

/** Checks a request before its body is read, so that a caller without a token cannot make the process read one. */
const checkBeforeBody = (context: ApiContext, { method, url, headers }: FastifyRequest): ProblemError | undefined => {
    if (context.isShuttingDown() && method !== "GET") {
        return new ProblemError("shuttingDown");
    }
    const { configuration } = context.configStore;
    const isAuthenticated = authenticate(headers.authorization, configuration, context.bootstrapOperator) !== undefined;
    // Without a configuration only the bootstrap operator is known, and the routes return the reason.
    return !isAuthenticated && configuration !== undefined && AUTHENTICATED_PATH.test(url)
        ? new ProblemError("unauthenticated")
        : undefined;
};

/** Creates the HTTP server for callers and operators. */
export const createHttpServer = (context: ApiContext): FastifyInstance => {
    const server = fastify({
        bodyLimit: MAX_BODY_BYTES,
        forceCloseConnections: "idle",
        requestTimeout: REQUEST_TIMEOUT_MS,
        http: { headersTimeout: HEADERS_TIMEOUT_MS },
    });
    server.server.maxConnections = MAX_CONNECTIONS;
    server.setErrorHandler((error: FastifyError | ProblemError, req, res) => {
        const { problem } = toProblemError(error);
        if (problem.code === "internal") {
            context.logger.log("error", "http.failed", { method: req.method, url: req.url, detail: error.message });
        }
        if (problem.retryAfterMs !== undefined) {
            res.header("retry-after", Math.ceil(problem.retryAfterMs / MS_PER_SECOND));
        }
        if (problem.status === 401) {
            res.header("www-authenticate", "Bearer");
        }
        return res.code(problem.status).type("application/problem+json").send(problem);
    });
    server.setNotFoundHandler(req => {
        throw new ProblemError("notFound", { what: `resource ${req.url}` });
    });
    server.addHook("onRequest", (req, _res, done) => {
        done(checkBeforeBody(context, req));
    });
    addPublicRoutes(server, context);
    addJobRoutes(server, context);
    addDirectRequestRoutes(server, context);
    addHistoryRoutes(server, context);
    addAdminRoutes(server, context);
    return server;
};
