import type { ObjectStoreError } from "@persimmonpitch/backing/objectStore.js";
import type { FastifyReply } from "fastify";
import * as z from "zod";
import type { MemoryObjectStore } from "./memoryObjectStore.js";
import { objectStoreFaultsSchema } from "./memoryObjectStore.js";
import type { ListenOptions, RunningServer } from "./server.js";
import { createServer, listen, serveFaults } from "./server.js";

const STATUSES: Readonly<Record<ObjectStoreError["kind"], number>> = { missing: 404, unavailable: 503 };

const sendError = (res: FastifyReply, error: ObjectStoreError): FastifyReply => {
    const detail = error.kind === "missing" ? `no object ${error.key}` : error.detail;
    return res.code(STATUSES[error.kind]).send({ code: error.kind, detail });
};

const keySchema = z.object({ key: z.string() });

/** Serves an object store over HTTP on loopback. */
export const startObjectStoreServer = (
    store: MemoryObjectStore,
    options: ListenOptions = {},
): Promise<RunningServer> => {
    const server = createServer();
    serveFaults(server, objectStoreFaultsSchema, store.faults);
    server.put("/objects", async (req, res) => {
        const { key } = keySchema.parse(req.query);
        const put = await store.put(key, z.string().parse(req.body));
        return put.match<unknown>({ Ok: () => ({ key }), Err: error => sendError(res, error) });
    });
    server.get("/objects", async (req, res) => {
        const { key } = keySchema.parse(req.query);
        const content = await store.get(key);
        return content.match<unknown>({
            Ok: text => res.type("text/plain").send(text),
            Err: error => sendError(res, error),
        });
    });
    return listen(server, options);
};
