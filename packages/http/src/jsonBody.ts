import type { BodyAccount } from "@persimmonpitch/gateway/bodyBuffer.js";
import { BodyBuffer } from "@persimmonpitch/gateway/bodyBuffer.js";
import type { FastifyInstance, FastifyRequest } from "fastify";

/** Where the body of a request is counted, and its limit in bytes. */
export interface JsonParserOptions {
    readonly maxBytes: () => number;
    readonly accountOf?: (req: FastifyRequest) => BodyAccount;
}

const UNCOUNTED: BodyAccount = { isOpen: true, hold: () => undefined };

const httpError = (statusCode: number, message: string): Error => Object.assign(new Error(message), { statusCode });

/** Whether a request announces a body above the limit; one that announces nothing is counted as it arrives. */
export const exceedsLimit = ({ headers }: FastifyRequest, maxBytes: number): boolean =>
    Number(headers["content-length"] ?? 0) > maxBytes;

const readBody = (payload: NodeJS.ReadableStream, body: BodyBuffer): Promise<string> =>
    new Promise((resolve, reject) => {
        payload.on("data", (chunk: Buffer) => {
            if (!body.add(chunk)) {
                payload.removeAllListeners("data");
                reject(httpError(413, "The body is too large."));
            }
        });
        payload.once("end", () => {
            resolve(body.text());
        });
        payload.once("error", () => {
            reject(httpError(400, "The body is incomplete."));
        });
    });

const parseJson = (text: string): unknown => {
    try {
        return JSON.parse(text);
    }
    catch {
        throw httpError(400, "The body is not JSON.");
    }
};

/**
 * Registers a JSON parser for the bodies of all content types. An empty body is valid, because some calls carry the
 * content type without a body. A body above the limit is rejected with status 413 as soon as it is known to be.
 */
export const registerJsonParser = (
    server: FastifyInstance,
    { maxBytes, accountOf = () => UNCOUNTED }: JsonParserOptions,
): void => {
    server.removeAllContentTypeParsers();
    server.addContentTypeParser("*", async (req: FastifyRequest, payload: NodeJS.ReadableStream) => {
        const limit = maxBytes();
        if (exceedsLimit(req, limit)) {
            throw httpError(413, "The body is too large.");
        }
        const text = await readBody(payload, new BodyBuffer(limit, accountOf(req)));
        return text === "" ? undefined : parseJson(text);
    });
};
