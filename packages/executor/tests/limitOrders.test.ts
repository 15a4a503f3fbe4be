import t from "tap";
import { Result } from "true-myth";
import type { ExecutorPort } from "../src/executorPort.js";
import { limitOrders } from "../src/limitOrders.js";

/** A port that records its calls and answers an order only when told to. */
const createPort = () => {
    const sent: string[] = [];
    const answers: (() => void)[] = [];
    const hold = (name: string): ReturnType<ExecutorPort["start"]> =>
        new Promise(resolve => {
            sent.push(name);
            answers.push(() => {
                resolve(Result.ok({ clockMs: 1 }));
            });
        });
    const inner: ExecutorPort = {
        start: ({ executorId, task }) => hold(`start ${executorId} ${task}`),
        stop: ({ executorId, task }) => hold(`stop ${executorId} ${task}`),
        pace: ({ executorId, task }) => hold(`pace ${executorId} ${task}`),
        list: ({ executorId }) => {
            sent.push(`list ${executorId}`);
            return Promise.resolve(Result.err({ kind: "notSent", detail: "refused" }));
        },
        probe: ({ executorId }) => {
            sent.push(`probe ${executorId}`);
            return Promise.resolve(Result.err({ kind: "notSent", detail: "refused" }));
        },
    };
    const port = limitOrders(inner, { starts: 2, stops: 1 });
    const orderFor = (task: string, executorId = "x1") => ({ executorId, fencingToken: 1, task, run: 1 });
    const start = (task: string, signal?: AbortSignal, executorId?: string) =>
        port.start({ ...orderFor(task, executorId), payload: "", deadlineMs: 1 }, signal);
    return { sent, answers, port, orderFor, start };
};

const settle = () => new Promise<void>(resolve => setImmediate(resolve));

// Guards against hundreds of orders that time out while they wait for a connection, so that none is ever answered.
void t.test("orders beyond the limit are sent in turn once earlier ones have ended", async t => {
    const { sent, answers, start } = createPort();
    const results = ["a", "b", "c", "d"].map(task => start(task));
    await settle();
    t.same(sent, ["start x1 a", "start x1 b"]);
    answers[1]?.();
    await settle();
    t.same(sent, ["start x1 a", "start x1 b", "start x1 c"]);
    answers[0]?.();
    answers[2]?.();
    await settle();
    answers[3]?.();
    t.ok((await Promise.all(results)).every(({ isOk }) => isOk));
    void start("e");
    void start("f");
    await settle();
    t.equal(sent.length, 6, "ended orders have freed their places");
});

// Guards against a start that is sent after its order was given up, and against a place that it keeps.
void t.test("an order that is given up while it waits is not sent", async t => {
    const { sent, answers, start } = createPort();
    const abortController = new AbortController();
    void start("a");
    void start("b");
    const waiting = start("c", abortController.signal);
    const next = start("d");
    abortController.abort();
    t.match(await waiting, { error: { kind: "unanswered" } });
    t.match(await start("e", abortController.signal), { error: { kind: "unanswered" } });
    answers[0]?.();
    await settle();
    t.same(sent, ["start x1 a", "start x1 b", "start x1 d"]);
    answers[2]?.();
    t.ok((await next).isOk);
});

// Guards against leases, stops and other executors that wait behind the starts of one executor.
void t.test("other calls do not wait behind starts", async t => {
    const { sent, port, orderFor, start } = createPort();
    ["a", "b", "c"].forEach(task => void start(task));
    void port.stop(orderFor("a"));
    void port.stop(orderFor("b"));
    void port.pace({ ...orderFor("a"), percentage: 50 });
    await port.list({ executorId: "x1", fencingToken: 1, acknowledgedEnd: 0, waitMs: 0 });
    void start("a", undefined, "x2");
    await settle();
    t.same(sent.sort(), ["list x1", "pace x1 a", "start x1 a", "start x1 b", "start x2 a", "stop x1 a"]);
});
