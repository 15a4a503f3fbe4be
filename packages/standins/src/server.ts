import type { FastifyInstance, FastifyReply } from "fastify";
import fastify from "fastify";
import * as z from "zod";

/** Where a stand-in listens; port 0 takes any free port. */
export interface ListenOptions {
    readonly host?: string;
    readonly port?: number;
}

/** A server that listens. */
export interface RunningServer {
    readonly url: string;
    /** Answers what is in progress and closes. */
    close(): Promise<void>;
}

const LOOPBACK = "127.0.0.1";
const MAX_BODY_BYTES = 16 * 1024 * 1024;
const MAX_PARAMETER_LENGTH = 512;

/** Makes a server that answers 400 to a body that does not fit its schema. */
export const createServer = (): FastifyInstance => {
    const server = fastify({
        bodyLimit: MAX_BODY_BYTES,
        forceCloseConnections: "idle",
        routerOptions: { maxParamLength: MAX_PARAMETER_LENGTH },
    });
    server.setErrorHandler((error, req, res) => {
        const status = error instanceof z.ZodError ? 400 : 500;
        return res.code(status).send({ code: status === 400 ? "invalid" : "failed", detail: String(error) });
    });
    return server;
};

/** Adds `PUT /faults`, which changes the faults named in the body and answers with all of them. */
export const serveFaults = <Shape extends z.ZodRawShape>(
    server: FastifyInstance,
    schema: z.ZodObject<Shape>,
    faults: object,
): void => {
    const changesSchema = schema.partial().strict();
    server.put("/faults", req => Object.assign(faults, changesSchema.parse(req.body)));
};

/** Starts a server. */
export const listen = async (server: FastifyInstance, { host, port }: ListenOptions): Promise<RunningServer> => {
    const url = await server.listen({ host: host ?? LOOPBACK, port: port ?? 0 });
    return { url, close: () => server.close() };
};

/** Ends the connection without an answer, as a lost answer looks to the client. */
export const loseAnswer = (res: FastifyReply): FastifyReply => {
    res.hijack();
    res.raw.socket?.destroy();
    return res;
};
