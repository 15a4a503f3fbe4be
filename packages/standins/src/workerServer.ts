import type { WorkerError } from "@persimmonpitch/backing/worker.js";
import { startTaskRequestSchema } from "@persimmonpitch/backing/worker.js";
import {
    renewLeasesRequestSchema,
    stopTaskRequestSchema,
    throttleTaskRequestSchema,
} from "@persimmonpitch/backing/workerProtocol.js";
import type { FastifyReply } from "fastify";
import type { Result } from "true-myth";
import * as z from "zod";
import type { MemoryWorker } from "./memoryWorker.js";
import { workerFaultsSchema } from "./memoryWorker.js";
import type { ListenOptions, RunningServer } from "./server.js";
import { createServer, listen, serveFaults } from "./server.js";

const STATUSES: Readonly<Record<WorkerError["kind"], number>> = { refused: 409, unavailable: 503 };

/** Answers with the value of a result, or with the status of its error. */
export const sendResult = <T>(res: FastifyReply, result: Result<T, WorkerError>): FastifyReply =>
    result.match({
        Ok: value => res.send(value ?? {}),
        Err: ({ kind, detail }) => res.code(STATUSES[kind]).send({ code: kind, detail }),
    });

const idSchema = z.object({ id: z.string() });

/** Serves a worker runtime over HTTP on loopback. */
export const startWorkerServer = (worker: MemoryWorker, options: ListenOptions = {}): Promise<RunningServer> => {
    const server = createServer();
    serveFaults(server, workerFaultsSchema, worker.faults);
    server.get("/runs", () => ({ runs: worker.runs }));
    server.post(
        "/tasks",
        async (req, res) => sendResult(res, await worker.start(startTaskRequestSchema.parse(req.body))),
    );
    server.get("/tasks", async (req, res) => {
        const listed = await worker.listTasks();
        return sendResult(res, listed.map(tasks => ({ tasks })));
    });
    server.post("/leases", async (req, res) => {
        const { attemptIds, leaseMs } = renewLeasesRequestSchema.parse(req.body);
        return sendResult(res, await worker.renewLeases(attemptIds, leaseMs));
    });
    server.post("/tasks/:id/stop", async (req, res) => {
        const { checkpoint, graceMs } = stopTaskRequestSchema.parse(req.body);
        return sendResult(res, await worker.stop(idSchema.parse(req.params).id, checkpoint, graceMs));
    });
    server.post("/tasks/:id/throttle", async (req, res) => {
        const { share } = throttleTaskRequestSchema.parse(req.body);
        return sendResult(res, await worker.throttle(idSchema.parse(req.params).id, share));
    });
    return listen(server, options);
};
