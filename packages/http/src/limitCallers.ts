import type { CallerAccounts, CallerConnection } from "@persimmonpitch/gateway/callerAccounts.js";
import type { CallerLimits } from "@persimmonpitch/gateway/callerLimits.js";
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import type { Socket } from "node:net";
import { finished } from "node:stream";

/** Node.js checks the time-outs of headers and requests at this interval. */
const TIMEOUT_CHECK_MS = 1_000;

/** Options of a server whose callers are limited. */
export const limitedServerOptions = ({ headersTimeoutMs, requestTimeoutMs }: CallerLimits) => ({
    requestTimeout: requestTimeoutMs,
    http: { headersTimeout: headersTimeoutMs, connectionsCheckingInterval: TIMEOUT_CHECK_MS },
});

/** Changes the time-outs of a running server. */
export const setTimeouts = ({ server }: FastifyInstance, limits: CallerLimits): void => {
    server.headersTimeout = limits.headersTimeoutMs;
    server.requestTimeout = limits.requestTimeoutMs;
};

/** Refuses a request of a server that has no error body of its own. */
export const refuseUnavailable = async (reply: FastifyReply): Promise<void> => {
    await reply.code(503).send({ error: "unavailable" });
};

/** The account of the connection on which a request arrived. */
export type ConnectionLookup = (req: FastifyRequest) => CallerConnection;

/**
 * Counts the connections and requests of a server in `accounts`. The requests of one connection are handled one after
 * the other, in their order; those that wait are dropped when the connection closes.
 */
export const limitCallers = (
    server: FastifyInstance,
    accounts: CallerAccounts,
    refuse: (reply: FastifyReply) => Promise<void>,
): ConnectionLookup => {
    const connections = new WeakMap<Socket, CallerConnection>();
    const connectionOf = (socket: Socket): CallerConnection => {
        const known = connections.get(socket);
        if (known !== undefined) {
            return known;
        }
        const connection = accounts.connect(socket.remoteAddress ?? "", () => {
            socket.destroy();
        });
        connections.set(socket, connection);
        // One listener for each connection: one for each request would exceed the limit of Node.js for listeners.
        socket.once("close", () => {
            connection.close();
        });
        return connection;
    };
    server.server.on("connection", connectionOf);
    server.addHook("onRequest", async (req, reply) => {
        const connection = connectionOf(req.raw.socket);
        const admission = connection.beginRequest();
        if (admission.kind === "refused") {
            await refuse(reply.header("connection", "close"));
            return reply;
        }
        if (admission.kind === "admitted") {
            finished(reply.raw, admission.turn.end);
            await admission.turn.ready;
        }
        // A request of a closed connection is not handled, so it has no effect.
        return connection.isOpen ? undefined : reply.hijack();
    });
    server.addHook("preHandler", (req, _reply, done) => {
        connectionOf(req.raw.socket).isProcessing = true;
        done();
    });
    return req => connectionOf(req.raw.socket);
};
