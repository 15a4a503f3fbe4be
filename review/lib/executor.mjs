// An executor of tasks, as PROTOCOL.md describes it: leases, fences, run numbers, ends, beats.
import { call, sendJson, serve } from "./http.mjs";

const MAX_HOLD_MS = 10_000;
const STOP_MS = 100;
const MAX_LISTED_ENDS = 500;
const BEAT_MS = 1_500;

/**
 * One executor; it may have several incarnations under one id, one after the other. `workMs` gives the time of a run's
 * work. `events` receives every start and end, and every end that a caller has taken note of.
 */
export class Executor {
    events = [];
    /** The address that beats name, if it isn't the executor's own: that of a proxy in front of it. */
    publicAddress = undefined;
    incarnation = undefined;
    sequence = 0;

    constructor(options) {
        this.options = options;
    }

    /** Starts an incarnation. */
    async start(port = 0) {
        const state = {
            born: Date.now(),
            startedAt: performance.now(),
            running: new Map(),
            ends: [],
            last: new Map(),
            endNumber: 0,
            fence: 0,
            leaseEnd: -Infinity,
            hasLapsed: false,
            waiters: new Set(),
            isUp: true,
        };
        this.incarnation = state;
        this.sequence = 0;
        this.note("executor up", { born: state.born });
        state.server = await serve((req, body, res) => {
            this.handle(state, req, body, res);
        }, port);
        state.leaseTimer = setInterval(() => {
            this.checkLease(state);
        }, 20);
        void this.beat();
        state.beatTimer = setInterval(() => void this.beat(), BEAT_MS);
    }

    /** Ends the incarnation at once; everything that it knew is gone. */
    crash() {
        const state = this.incarnation;
        state.isUp = false;
        clearInterval(state.leaseTimer);
        clearInterval(state.beatTimer);
        this.note("executor down", { born: state.born, running: [...state.running.keys()] });
        const runs = [...state.running.values()];
        state.running.clear();
        runs.forEach(run => {
            clearTimeout(run.timer);
            this.options.gangs?.leave(run);
        });
        state.server.close();
    }

    close() {
        if (this.incarnation?.isUp === true) {
            this.crash();
        }
    }

    note(what, fields) {
        const event = { at: this.options.record.now(), what, executor: this.options.id, ...fields };
        this.events.push(event);
        this.options.record.write(what, { executor: this.options.id, ...fields });
    }

    clock(state) {
        return Math.round(performance.now() - state.startedAt) + 1_000;
    }

    async beat() {
        const { options, incarnation } = this;
        if (options.isCutOff?.() === true) {
            return;
        }
        await call(options.control(), "POST", `/-/Instances.Heartbeat/${options.id}`, {
            timeoutMs: 1_000,
            body: {
                service: options.service,
                address: this.publicAddress ?? incarnation.server.address,
                zone: options.zone,
                version: "v1",
                slots: 8,
                state: "ready",
                cold_remaining_ms: 0,
                capacity: options.capacity,
                labels: ["a", options.rack],
                clock_ms: this.clock(incarnation),
                born: incarnation.born,
                sequence: ++this.sequence,
            },
        });
    }

    handle(state, req, body, res) {
        if (!state.isUp) {
            return;
        }
        const expected = req.headers["x-expect-instance"];
        if (expected !== undefined && expected !== this.options.id) {
            sendJson(res, { clock_ms: this.clock(state) }, 421);
            return;
        }
        const fence = body.fencing_token ?? 0;
        if (fence < state.fence) {
            sendJson(res, { clock_ms: this.clock(state), reason: "fence" }, 409);
            return;
        }
        state.fence = fence;
        const handlers = {
            "/-/run-start": () => {
                this.runStart(state, body, res);
            },
            "/-/run-stop": () => {
                this.runStop(state, body, res);
            },
            "/-/hold": () => {
                this.hold(state, body, res);
            },
        };
        (handlers[req.url] ?? (() => {
            sendJson(res, { clock_ms: this.clock(state) }, 404);
        }))();
    }

    extendLease(state, deadlineMs) {
        if (deadlineMs !== undefined) {
            this.checkLease(state);
            state.hasLapsed = false;
            state.leaseEnd = Math.max(state.leaseEnd, Math.min(deadlineMs, this.clock(state) + MAX_HOLD_MS));
        }
    }

    refuse(state, reason, body, res) {
        this.note("start refused", { task: body.task_id, run: body.run_id, reason, born: state.born });
        sendJson(res, { clock_ms: this.clock(state), reason }, 409);
    }

    runStart(state, body, res) {
        const { task_id: task, run_id: run, task_spec: spec, deadline_ms: deadlineMs } = body;
        if (typeof task !== "string" || !Number.isInteger(run) || typeof deadlineMs !== "number") {
            sendJson(res, { clock_ms: this.clock(state) }, 400);
            return;
        }
        if (state.running.has(`${task}#${run}`)) {
            this.extendLease(state, deadlineMs);
            sendJson(res, { clock_ms: this.clock(state) });
            return;
        }
        if (run <= (state.last.get(task) ?? 0)) {
            this.extendLease(state, deadlineMs);
            this.refuse(state, "old", body, res);
            return;
        }
        if (deadlineMs <= this.clock(state)) {
            this.refuse(state, "late", body, res);
            return;
        }
        this.extendLease(state, deadlineMs);
        const workMs = this.options.workMs(task, spec);
        const started = { task, run, workMs, startedAt: undefined, end: how => this.end(state, started, how) };
        state.running.set(`${task}#${run}`, started);
        this.note("start", { task, run, fence: state.fence, born: state.born });
        const gang = this.options.gangOf?.(task, run, spec);
        if (gang === undefined) {
            started.startedAt = performance.now();
            started.timer = setTimeout(started.end, workMs, "done");
        }
        else {
            this.options.gangs.join(started, { ...gang, workMs });
        }
        sendJson(res, { clock_ms: this.clock(state) });
    }

    runStop(state, body, res) {
        const { task_id: task, run_id: run } = body;
        state.last.set(task, Math.max(run, state.last.get(task) ?? 0));
        const running = state.running.get(`${task}#${run}`);
        this.note("stop", { task, run, isRunning: running !== undefined, born: state.born });
        if (running !== undefined && running.isStopping !== true) {
            running.isStopping = true;
            clearTimeout(running.timer);
            running.timer = setTimeout(() => {
                this.end(state, running, "stopped");
            }, STOP_MS);
        }
        sendJson(res, { clock_ms: this.clock(state) });
    }

    end(state, run, how) {
        if (!state.running.has(`${run.task}#${run.run}`)) {
            return;
        }
        clearTimeout(run.timer);
        state.running.delete(`${run.task}#${run.run}`);
        state.last.set(run.task, Math.max(run.run, state.last.get(run.task) ?? 0));
        state.endNumber += 1;
        state.ends.push([state.endNumber, run.task, run.run, how, ""]);
        this.note("end", { task: run.task, run: run.run, how, number: state.endNumber, born: state.born });
        state.waiters.forEach(wake => {
            wake();
        });
        this.options.gangs?.leave(run);
    }

    checkLease(state) {
        if (!state.hasLapsed && Number.isFinite(state.leaseEnd) && this.clock(state) > state.leaseEnd) {
            state.hasLapsed = true;
            this.note("lease lapsed", { born: state.born });
            [...state.running.values()].forEach(run => {
                this.end(state, run, "lapsed");
            });
        }
    }

    hold(state, body, res) {
        this.extendLease(state, body.deadline_ms);
        const lastSeen = body.last_seen ?? 0;
        for (const [number, task, run, how] of state.ends.filter(([number]) => number <= lastSeen)) {
            this.note("end taken note of", { task, run, how, number, born: state.born });
        }
        state.ends = state.ends.filter(([number]) => number > lastSeen);
        const answer = () => {
            state.waiters.delete(answer);
            clearTimeout(timer);
            if (!state.isUp) {
                return;
            }
            sendJson(res, {
                clock_ms: this.clock(state),
                born: state.born,
                running: [...state.running.values()].map(({ task, run, startedAt, workMs }) => [
                    task,
                    run,
                    "",
                    startedAt === undefined ? 0 : Math.min(99, Math.floor((performance.now() - startedAt) / workMs * 100)),
                    100,
                ]),
                finished: state.ends.slice(0, MAX_LISTED_ENDS),
            });
        };
        const waitMs = state.ends.length > 0 ? 0 : Math.min(2_000, body.wait_ms ?? 0);
        const timer = setTimeout(answer, waitMs);
        if (waitMs > 0) {
            state.waiters.add(answer);
            res.once("close", () => {
                state.waiters.delete(answer);
                clearTimeout(timer);
            });
        }
    }
}
