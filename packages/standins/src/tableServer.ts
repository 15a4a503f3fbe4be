import type { TableError } from "@persimmonpitch/backing/table.js";
import { transactionSchema } from "@persimmonpitch/backing/table.js";
import { scanQuerySchema } from "@persimmonpitch/backing/tableProtocol.js";
import type { FastifyReply } from "fastify";
import * as z from "zod";
import type { MemoryTable } from "./memoryTable.js";
import { tableFaultsSchema } from "./memoryTable.js";
import type { ListenOptions, RunningServer } from "./server.js";
import { createServer, listen, loseAnswer, serveFaults } from "./server.js";

type ErrorHandlers = {
    readonly [K in TableError["kind"]]: (res: FastifyReply, error: Extract<TableError, { kind: K; }>) => FastifyReply;
};

const ERROR_HANDLERS: ErrorHandlers = {
    conflict: (res, { keys }) => res.code(409).send({ code: "conflict", keys }),
    unavailable: (res, { detail }) => res.code(503).send({ code: "unavailable", detail }),
    unclear: loseAnswer,
};

const sendError = <K extends TableError["kind"]>(
    res: FastifyReply,
    error: Extract<TableError, { kind: K; }> & { readonly kind: K; },
): FastifyReply => ERROR_HANDLERS[error.kind](res, error);

const missing = (res: FastifyReply, detail: string): FastifyReply => res.code(404).send({ code: "missing", detail });

const keySchema = z.object({ key: z.string() });
const idSchema = z.object({ id: z.string() });

/** Serves a table over HTTP on loopback. */
export const startTableServer = (table: MemoryTable, options: ListenOptions = {}): Promise<RunningServer> => {
    const server = createServer();
    serveFaults(server, tableFaultsSchema, table.faults);
    server.get("/counts", () => table.counts);
    server.get("/row", async (req, res) => {
        const { key } = keySchema.parse(req.query);
        const row = await table.read(key);
        return row.match({
            Ok: found => found ?? missing(res, `no row ${key}`),
            Err: error => sendError(res, error),
        });
    });
    server.get("/rows", async (req, res) => {
        const { prefix, after, limit } = scanQuerySchema.parse(req.query);
        const page = await table.scan(prefix, after, limit);
        return page.match<unknown>({ Ok: found => found, Err: error => sendError(res, error) });
    });
    server.post("/transactions", async (req, res) => {
        const committed = await table.commit(transactionSchema.parse(req.body));
        return committed.match<unknown>({ Ok: versions => ({ versions }), Err: error => sendError(res, error) });
    });
    server.get("/writes/:id", async (req, res) => {
        const { id } = idSchema.parse(req.params);
        const write = await table.readWrite(id);
        return write.match<unknown>({
            Ok: versions => versions === undefined ? missing(res, `no write ${id}`) : { versions },
            Err: error => sendError(res, error),
        });
    });
    return listen(server, options);
};
