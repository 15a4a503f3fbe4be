import { ScriptedHttpServer } from "@persimmonpitch/standins/scriptedHttpServer.js";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import t from "tap";
import { callHttp, openPool } from "../src/httpCall.js";

const TIMEOUT_MS = 1_000;
const COLLECTION_INTERVAL_MS = 20;
const TEST_TIMEOUT_MS = 60_000;
const CALLS = 20;
/** Calls after which the runtime has optimized the code that waits for a response. */
const WARM_UP_CALLS = 6_000;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

// Guards against a poll whose answer is lost and that never ends, because its timeout was garbage-collected. That happens
// once the runtime has optimized the function that waits, so the test makes calls that are answered first.
void t.test("a call without an answer ends with its timeout", { timeout: TEST_TIMEOUT_MS }, async t => {
    const server = new ScriptedHttpServer();
    server.respondWith({ status: 200, body: {} });
    const pool = openPool(await server.listen(), CALLS);
    t.teardown(async () => {
        await pool.destroy();
        await server.close();
    });
    const lifetime = new AbortController();
    const callTogether = (timeoutMs: number) => {
        const call = { method: "GET", path: "/", timeoutMs, signal: lifetime.signal } as const;
        return Promise.all(Array.from({ length: CALLS }, () => callHttp(pool, call)));
    };
    for (let count = 0; count < WARM_UP_CALLS; count += CALLS) {
        await callTogether(TEST_TIMEOUT_MS);
    }
    t.equal(server.receivedRequests.length, WARM_UP_CALLS);
    server.respondWith({ isSilent: true });
    const collector = setInterval(collectGarbage, COLLECTION_INTERVAL_MS);
    t.teardown(() => {
        clearInterval(collector);
    });
    const outcomes = await callTogether(TIMEOUT_MS);
    const unanswered = { kind: "unanswered", detail: `No response within ${TIMEOUT_MS} ms.` };
    t.same(outcomes, Array.from({ length: CALLS }, () => unanswered));
});

// Guards against a daemon whose shutdown waits for the timeout of a poll.
void t.test("a call ends when its signal aborts", { timeout: TEST_TIMEOUT_MS }, async t => {
    const server = new ScriptedHttpServer();
    server.respondWith({ isSilent: true });
    const pool = openPool(await server.listen(), 1);
    t.teardown(async () => {
        await pool.destroy();
        await server.close();
    });
    const lifetime = new AbortController();
    const outcome = callHttp(pool, {
        method: "GET",
        path: "/",
        timeoutMs: 2 * TEST_TIMEOUT_MS,
        signal: lifetime.signal,
    });
    setTimeout(() => {
        lifetime.abort();
    }, TIMEOUT_MS);
    t.same(await outcome, { kind: "unanswered", detail: "The call was aborted." });
});

// Guards against a connection for each call, which costs the store and both VMs.
void t.test("calls that are answered share a connection", { timeout: TEST_TIMEOUT_MS }, async t => {
    const server = new ScriptedHttpServer();
    server.respondWith({ status: 200, body: {} });
    const pool = openPool(await server.listen(), 1);
    t.teardown(async () => {
        await pool.destroy();
        await server.close();
    });
    const lifetime = new AbortController();
    for (let count = 0; count < CALLS; count += 1) {
        const call = { method: "GET", path: "/", timeoutMs: TEST_TIMEOUT_MS, signal: lifetime.signal } as const;
        t.equal((await callHttp(pool, call)).kind, "answered");
    }
    t.equal(server.connections, 1);
});
