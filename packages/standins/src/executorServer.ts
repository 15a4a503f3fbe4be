import { executorRequestSchema } from "@persimmonpitch/backing/workerProtocol.js";
import type { MemoryExecutor } from "./memoryExecutor.js";
import { executorFaultsSchema } from "./memoryExecutor.js";
import type { ListenOptions, RunningServer } from "./server.js";
import { createServer, listen, serveFaults } from "./server.js";
import { sendResult } from "./workerServer.js";

/** Serves an executor over HTTP on loopback; a request whose connection closes is aborted. */
export const startExecutorServer = (executor: MemoryExecutor, options: ListenOptions = {}): Promise<RunningServer> => {
    const server = createServer();
    serveFaults(server, executorFaultsSchema, executor.faults);
    server.get("/runs", () => ({ runs: executor.runs }));
    server.post("/requests", async (req, res) => {
        const request = executorRequestSchema.parse(req.body);
        const closed = new AbortController();
        res.raw.once("close", () => {
            closed.abort();
        });
        const answer = await executor.run(request, closed.signal);
        return sendResult(res, answer.map(text => ({ attemptId: request.attemptId, answer: text })));
    });
    return listen(server, options);
};
