// A stand-in of an executor. A task's `task_spec` is JSON: `workMs` (how long it works), `fails` (whether it ends as
// failed), `lasts` (whether it works until it is stopped), `failsBetweenMs` (when a run that lasts fails).
import { createHash } from "node:crypto";
import { call, sendJson, serve } from "./http.mjs";

const MAX_HOLD_MS = 10_000;
const MAX_WAIT_MS = 2_000;
const MAX_LISTED_ENDS = 500;
const STARTUP_MS = 500;
const STOP_MS = 100;
const TICK_MS = 10;
const HEARTBEAT_MS = 1_500;
const HEARTBEAT_TIMEOUT_MS = 1_000;

/**
 * Starts one life of an executor, which pings its agent at once and then every `HEARTBEAT_MS`. `onEvent` hears of each
 * start, end and ping, and of each end that the system takes note of.
 */
export const startExecutor = async ({ id, agent, service, zone, rack, gpus = 8, onEvent }) => {
    const startedAt = performance.now();
    const born = Date.now();
    const clock = () => Math.round(performance.now() - startedAt);
    const running = new Map();
    const lastRuns = new Map();
    const waiting = new Set();
    let ends = [];
    let endCount = 0;
    let fence = 0;
    let leaseEnd = -Infinity;
    let sequence = 0;
    let isUp = true;
    const lastRunOf = task => lastRuns.get(task) ?? 0;
    const noteRun = (task, run) => lastRuns.set(task, Math.max(run, lastRunOf(task)));
    const percentOf = ({ spec, at }) => {
        const worked = performance.now() - at;
        return Math.min(100, Math.floor(100 * worked / (spec.lasts === true ? STARTUP_MS : spec.workMs)));
    };
    /** How long a run of a task that lasts works until it fails: between the two `failsBetweenMs`, by its name. */
    const lifeOf = ({ task, run, spec }) => {
        const [least, most] = spec.failsBetweenMs ?? [Infinity, Infinity];
        const digest = createHash("sha256").update(`${task}#${run}`).digest();
        return least === Infinity ? Infinity : least + (most - least) * digest.readUInt32BE() / 0xffffffff;
    };
    const end = (run, how) => {
        running.delete(run.task);
        noteRun(run.task, run.run);
        endCount += 1;
        ends.push([endCount, run.task, run.run, how, ""]);
        onEvent("end", { id, born, number: endCount, task: run.task, run: run.run, how });
        waiting.forEach(answer => {
            answer();
        });
    };
    const tick = () => {
        for (const run of [...running.values()]) {
            if (clock() > leaseEnd) {
                end(run, "lapsed");
            }
            else if (run.stopAt !== undefined && performance.now() >= run.stopAt) {
                end(run, "stopped");
            }
            else if (run.spec.lasts === true && performance.now() - run.at >= lifeOf(run)) {
                end(run, "failed");
            }
            else if (run.spec.lasts !== true && performance.now() - run.at >= run.spec.workMs) {
                end(run, run.spec.fails === true ? "failed" : "done");
            }
        }
    };
    const extendLease = deadline => {
        if (typeof deadline === "number") {
            leaseEnd = Math.max(leaseEnd, Math.min(deadline, clock() + MAX_HOLD_MS));
        }
    };
    const base = () => ({ clock_ms: clock(), born });
    const refuse = (res, reason) => {
        sendJson(res, 409, { ...base(), reason });
    };
    const start = (body, res) => {
        const { task_id: task, run_id: number, deadline_ms: deadline } = body;
        const existing = running.get(task);
        if (existing?.run === number) {
            extendLease(deadline);
            sendJson(res, 200, base());
        }
        else if (number <= lastRunOf(task)) {
            extendLease(deadline);
            refuse(res, "old");
        }
        else if (deadline <= clock()) {
            refuse(res, "late");
        }
        else {
            extendLease(deadline);
            running.set(task, { task, run: number, spec: JSON.parse(body.task_spec), at: performance.now() });
            onEvent("start", { id, born, task, run: number, fence: body.fencing_token });
            sendJson(res, 200, base());
        }
    };
    const stop = ({ task_id: task, run_id: number }, res) => {
        noteRun(task, number);
        const run = running.get(task);
        if (run?.run === number) {
            run.stopAt ??= performance.now() + STOP_MS;
        }
        sendJson(res, 200, base());
    };
    const hold = (body, res) => {
        extendLease(body.deadline_ms);
        const seen = body.last_seen ?? 0;
        const noted = ends.filter(([number]) => number <= seen);
        noted.forEach(([number, task, run, how]) => {
            onEvent("noted", { id, born, number, task, run, how });
        });
        ends = ends.filter(([number]) => number > seen);
        const answer = () => {
            waiting.delete(answer);
            clearTimeout(deadline);
            if (isSilent) {
                return;
            }
            sendJson(res, 200, {
                ...base(),
                running: [...running.values()].map(run => [run.task, run.run, "", percentOf(run), 0]),
                finished: ends.slice(0, MAX_LISTED_ENDS),
            });
        };
        const deadline = setTimeout(answer, Math.min(MAX_WAIT_MS, body.wait_ms ?? 0));
        waiting.add(answer);
        if (ends.length > 0) {
            answer();
        }
    };
    const handlers = { "/-/run-start": start, "/-/run-stop": stop, "/-/hold": hold };
    let isSilent = false;
    const server = await serve((req, body, res) => {
        if (isSilent) {
            return;
        }
        const expected = req.headers["x-expect-instance"];
        const handler = handlers[req.url];
        if (expected !== undefined && expected !== id) {
            sendJson(res, 421, base());
        }
        else if (handler === undefined || body === undefined) {
            sendJson(res, 400, base());
        }
        else if ((body.fencing_token ?? 0) < fence) {
            refuse(res, "fence");
        }
        else {
            fence = body.fencing_token ?? 0;
            handler(body, res);
        }
    });
    /** The next ping, to be sent now or, where something holds it up, later. */
    const nextPing = () => {
        sequence += 1;
        return {
            service,
            address: server.address,
            zone,
            version: "v1",
            slots: 8,
            state: "ready",
            cold_remaining_ms: 0,
            capacity: { cpu: 128_000, task_memory_mb: 524_288, gpus },
            labels: ["a", rack],
            clock_ms: clock(),
            born,
            sequence,
        };
    };
    const deliver = async ping => {
        const path = `/-/Instances.Heartbeat/${id}`;
        const { status } = await call(agent, "POST", path, { body: ping, timeoutMs: HEARTBEAT_TIMEOUT_MS });
        onEvent("ping", { id, born: ping.born, sequence: ping.sequence, address: ping.address, answer: status });
        return status;
    };
    const ticker = setInterval(tick, TICK_MS);
    const heartbeats = setInterval(() => {
        void deliver(nextPing());
    }, HEARTBEAT_MS);
    void deliver(nextPing());
    const kill = () => {
        if (isUp) {
            isUp = false;
            clearInterval(ticker);
            clearInterval(heartbeats);
            server.close();
            onEvent("crash", { id, born, running: [...running.keys()] });
            running.clear();
        }
    };
    /** The executor is lost, but its address takes connections and leaves calls unanswered. */
    const fallSilent = () => {
        isSilent = true;
        clearInterval(ticker);
        clearInterval(heartbeats);
        onEvent("silent", { id, born, running: [...running.keys()] });
        running.clear();
    };
    return { id, born, address: server.address, nextPing, deliver, running, kill, fallSilent };
};
