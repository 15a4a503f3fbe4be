// A sound executor, as the users' page on running tasks describes it: fences, run numbers, leases, ends and stops. It
// announces itself to the agent of its machine and does each task for the milliseconds that the task's spec names.
import { listen, request, sendJson } from "./wire.mjs";

const HEARTBEAT_MS = 1_500;
const STOP_MS = 300;
const MAX_HOLD_MS = 10_000;
const LEASE_CHECK_MS = 50;
const MAX_ENDS = 500;

const keyOf = (task, number) => `${task} ${number}`;

/**
 * Starts an executor. `note` is called with each start and each end of a run. `announcements` is the address that it sends its
 * heartbeats to, at once or first after the interval between them. `announcedAddress` gives the address of a proxy before the
 * executor, `isCut` tells whether its heartbeats are lost, and
 * `slowdown` how many times as long its tasks take, as on a rack away from their data.
 */
export const startExecutor = async ({ id, service, zone, labels, capacity, announcements, note, ...options }) => {
    const { port = 0, heartbeatMs = HEARTBEAT_MS, isPingAtStart = true, isCut = () => false, announcedAddress } = options;
    const { slowdown = 1 } = options;
    const born = Date.now();
    const startedAt = performance.now();
    const clock = () => Math.round(performance.now() - startedAt);
    const running = new Map();
    const highestEnded = new Map();
    const waiting = new Set();
    let finished = [];
    let endCount = 0;
    let highestToken = 0;
    let deadline = 0;
    let sequence = 0;
    let isClosed = false;

    const end = (run, how) => {
        clearTimeout(run.timer);
        running.delete(keyOf(run.task, run.number));
        highestEnded.set(run.task, Math.max(highestEnded.get(run.task) ?? 0, run.number));
        endCount += 1;
        finished.push([endCount, run.task, run.number, how, ""]);
        note("end", { executor: id, task: run.task, run: run.number, how });
        waiting.forEach(respond => {
            respond();
        });
    };
    const extendLease = deadlineMs => {
        if (typeof deadlineMs === "number") {
            deadline = Math.max(deadline, Math.min(deadlineMs, clock() + MAX_HOLD_MS));
        }
    };
    const refuse = (res, reason) => {
        sendJson(res, { clock_ms: clock(), reason }, 409);
    };
    const accept = res => {
        sendJson(res, { clock_ms: clock() });
    };
    const start = ({ task_id: task, run_id: number, task_spec: spec, deadline_ms: deadlineMs }, res) => {
        if (running.has(keyOf(task, number))) {
            extendLease(deadlineMs);
            accept(res);
            return;
        }
        if (number <= (highestEnded.get(task) ?? 0)) {
            extendLease(deadlineMs);
            refuse(res, "old");
            return;
        }
        if (deadlineMs <= clock()) {
            refuse(res, "late");
            return;
        }
        extendLease(deadlineMs);
        const totalMs = Number(spec) * slowdown;
        const run = { task, number, startedAt: clock(), totalMs };
        run.timer = setTimeout(() => {
            end(run, "done");
        }, totalMs);
        running.set(keyOf(task, number), run);
        note("start", { executor: id, task, run: number });
        accept(res);
    };
    const stop = ({ task_id: task, run_id: number }, res) => {
        const run = running.get(keyOf(task, number));
        if (run !== undefined) {
            clearTimeout(run.timer);
            setTimeout(() => {
                if (running.has(keyOf(task, number))) {
                    end(run, "stopped");
                }
            }, STOP_MS);
        }
        highestEnded.set(task, Math.max(highestEnded.get(task) ?? 0, number));
        accept(res);
    };
    const lists = () => ({
        clock_ms: clock(),
        born,
        running: [...running.values()].map(run => [
            run.task,
            run.number,
            "",
            Math.min(99, Math.floor(100 * (clock() - run.startedAt) / run.totalMs)),
            1_000,
        ]),
        finished: finished.slice(0, MAX_ENDS),
    });
    const hold = ({ deadline_ms: deadlineMs, last_seen: lastSeen = 0, wait_ms: waitMs = 0 }, res) => {
        extendLease(deadlineMs);
        finished = finished.filter(([number]) => number > lastSeen);
        const respond = () => {
            clearTimeout(timer);
            waiting.delete(respond);
            sendJson(res, lists());
        };
        const timer = setTimeout(respond, finished.length > 0 ? 0 : waitMs);
        waiting.add(respond);
    };
    const handlers = { "/-/run-start": start, "/-/run-stop": stop, "/-/hold": hold, "/-/pace": (_, res) => accept(res) };
    const server = await listen((req, body, res) => {
        const expected = req.headers["x-expect-instance"];
        const handler = handlers[req.url];
        if (handler === undefined) {
            sendJson(res, {}, 404);
        }
        else if (expected !== undefined && expected !== id) {
            sendJson(res, { clock_ms: clock() }, 421);
        }
        else if ((body.fencing_token ?? 0) < highestToken) {
            refuse(res, "fence");
        }
        else {
            highestToken = body.fencing_token ?? 0;
            handler(body, res);
        }
    }, port);
    const heartbeat = () => ({
        service,
        address: announcedAddress?.(server.address) ?? server.address,
        zone,
        version: "v1",
        slots: 8,
        state: "ready",
        cold_remaining_ms: 0,
        capacity,
        labels,
        clock_ms: clock(),
        sequence: sequence++,
        born,
    });
    const sendHeartbeat = async () => {
        if (isCut()) {
            return;
        }
        await request(announcements, `/-/Instances.Heartbeat/${id}`, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: heartbeat(),
            timeoutMs: 1_000,
        });
    };
    const beats = setInterval(() => void sendHeartbeat(), heartbeatMs);
    const leases = setInterval(() => {
        if (clock() > deadline) {
            [...running.values()].forEach(run => {
                end(run, "lapsed");
            });
        }
    }, LEASE_CHECK_MS);
    if (isPingAtStart) {
        void sendHeartbeat();
    }
    return {
        id,
        born,
        address: server.address,
        heartbeat,
        running,
        /** Ends the executor as a crash does: all runs are gone and nothing is sent. */
        crash: () => {
            if (isClosed) {
                return;
            }
            isClosed = true;
            clearInterval(beats);
            clearInterval(leases);
            [...running.values()].forEach(run => {
                clearTimeout(run.timer);
                note("gone", { executor: id, task: run.task, run: run.number });
            });
            running.clear();
            server.close();
        },
    };
};
