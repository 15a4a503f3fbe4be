import type { TaskRun } from "@persimmonpitch/backing/runRecord.js";
import type { StartTaskRequest, Worker, WorkerError, WorkerTask } from "@persimmonpitch/backing/worker.js";
import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import { Result } from "true-myth";
import * as z from "zod";
import { parseJson } from "./parseJson.js";

/** Faults that a test can cause. */
export const workerFaultsSchema = z.object({
    /** Every call answers `unavailable`; tasks go on until their leases lapse. */
    down: z.boolean(),
    /** Delay before each call takes effect, in milliseconds. */
    slow: z.number().nonnegative(),
    /** Every task fails when it would have finished. */
    failAll: z.boolean(),
});
export type WorkerFaults = z.infer<typeof workerFaultsSchema>;

/** Size and delays of a worker. */
export interface WorkerOptions {
    readonly vmId: string;
    readonly accelerators: number;
    /** Age of the progress that the worker reports. */
    readonly progressLagMs?: Millis;
    /** Time that a task takes to write a checkpoint. */
    readonly checkpointMs?: Millis;
}

const DEFAULT_PROGRESS_LAG_MS = 200;
const DEFAULT_CHECKPOINT_MS = 50;

/** Ended tasks that the worker still lists; the oldest is forgotten first. */
const MAX_ENDED_TASKS = 1_000;

const payloadSchema = z.object({
    runMs: z.number().nonnegative().default(100),
    fail: z.boolean().default(false),
    result: z.string().default(""),
});
type Payload = z.infer<typeof payloadSchema>;

const checkpointSchema = z.object({ workMs: z.number().nonnegative() });

/** From `at`, when `workMs` was done, work grows by `share` for each millisecond. */
interface Pace {
    readonly at: Millis;
    readonly workMs: Millis;
    readonly share: number;
}

interface Stop {
    readonly at: Millis;
    readonly writesCheckpoint: boolean;
}

/** A task with the state that the worker does not report. */
interface RunningTask {
    readonly task: WorkerTask;
    readonly run: TaskRun;
    readonly payload: Payload;
    readonly wake: WakeSignal;
    done: Promise<void>;
    leaseEnd: Millis;
    crashedAt: Millis;
    stop: Stop | undefined;
    /** Changes of pace, oldest first; they stay because progress is reported as of an earlier time. */
    readonly paces: [Pace, ...Pace[]];
}

/** The worker runtime of one VM, in memory. */
export class MemoryWorker implements Worker {
    readonly faults: WorkerFaults = { down: false, slow: 0, failAll: false };
    /** Every task that was started, in order of its start. */
    readonly runs: TaskRun[] = [];
    private readonly tasksById = new Map<string, RunningTask>();
    private readonly progressLagMs: Millis;
    private readonly checkpointMs: Millis;

    constructor(private readonly clock: Clock, private readonly options: WorkerOptions) {
        this.progressLagMs = options.progressLagMs ?? DEFAULT_PROGRESS_LAG_MS;
        this.checkpointMs = options.checkpointMs ?? DEFAULT_CHECKPOINT_MS;
    }

    async start(start: StartTaskRequest): Promise<Result<WorkerTask, WorkerError>> {
        const fault = await this.delayOrFail();
        if (fault !== undefined) {
            return Result.err(fault);
        }
        const known = this.tasksById.get(start.attemptId);
        if (known !== undefined) {
            return Result.ok(this.report(known));
        }
        const reason = this.refusalOf(start);
        if (reason !== undefined) {
            return refused(reason);
        }
        return Result.ok(this.report(this.launch(start)));
    }

    async renewLeases(attemptIds: readonly string[], leaseMs: number): Promise<Result<undefined, WorkerError>> {
        const fault = await this.delayOrFail();
        if (fault !== undefined) {
            return Result.err(fault);
        }
        for (const attemptId of attemptIds) {
            const running = this.tasksById.get(attemptId);
            if (running !== undefined) {
                running.leaseEnd = this.clock.now() + leaseMs;
                running.wake.wake();
            }
        }
        return Result.ok(undefined);
    }

    async stop(attemptId: string, checkpoint: boolean, graceMs: number): Promise<Result<WorkerTask, WorkerError>> {
        const fault = await this.delayOrFail();
        if (fault !== undefined) {
            return Result.err(fault);
        }
        const running = this.tasksById.get(attemptId);
        if (running === undefined) {
            return refused(`no task ${attemptId}`);
        }
        if (running.task.state === "running") {
            const writesCheckpoint = checkpoint && this.checkpointMs <= graceMs;
            const delayMs = checkpoint ? Math.min(this.checkpointMs, graceMs) : 0;
            running.stop ??= { at: this.clock.now() + delayMs, writesCheckpoint };
            running.wake.wake();
            await running.done;
        }
        return Result.ok(this.report(running));
    }

    async throttle(attemptId: string, share: number): Promise<Result<undefined, WorkerError>> {
        const fault = await this.delayOrFail();
        if (fault !== undefined) {
            return Result.err(fault);
        }
        const running = this.tasksById.get(attemptId);
        if (running === undefined) {
            return refused(`no task ${attemptId}`);
        }
        const now = this.clock.now();
        running.paces.push({ at: now, workMs: workAt(running, now), share });
        running.wake.wake();
        return Result.ok(undefined);
    }

    async listTasks(): Promise<Result<readonly WorkerTask[], WorkerError>> {
        const fault = await this.delayOrFail();
        if (fault !== undefined) {
            return Result.err(fault);
        }
        return Result.ok([...this.tasksById.values()].map(running => this.report(running)));
    }

    /** Loses the VM: every task ends at once, and the worker forgets what it ran. */
    crash(): void {
        for (const running of this.tasksById.values()) {
            running.crashedAt = this.clock.now();
            running.wake.wake();
        }
        this.tasksById.clear();
    }

    private async delayOrFail(): Promise<WorkerError | undefined> {
        if (this.faults.slow > 0) {
            await this.clock.sleep(this.faults.slow);
        }
        return this.faults.down ? { kind: "unavailable", detail: "the worker is down" } : undefined;
    }

    private refusalOf({ devices }: StartTaskRequest): string | undefined {
        const unknown = devices.filter(device => device >= this.options.accelerators);
        if (unknown.length > 0) {
            return `no accelerators ${unknown.join(", ")}`;
        }
        const taken = [...this.tasksById.values()]
            .filter(({ task }) => task.state === "running")
            .flatMap(({ task }) => task.devices);
        const busy = devices.filter(device => taken.includes(device));
        return busy.length > 0 ? `accelerators ${busy.join(", ")} are taken` : undefined;
    }

    private launch(start: StartTaskRequest): RunningTask {
        const { attemptId, jobId, devices } = start;
        const now = this.clock.now();
        const run: TaskRun = {
            vmId: this.options.vmId,
            attemptId,
            jobId,
            devices: [...devices],
            startedAt: now,
            state: "running",
            ...(start.checkpoint === undefined ? {} : { resumedFrom: start.checkpoint }),
        };
        const running: RunningTask = {
            task: { attemptId, jobId, devices: [...devices], state: "running", progress: 0 },
            run,
            payload: parseJson(payloadSchema, start.payload) ?? payloadSchema.parse({}),
            wake: new WakeSignal(),
            done: Promise.resolve(),
            leaseEnd: now + start.leaseMs,
            crashedAt: Infinity,
            stop: undefined,
            paces: [{ at: now, workMs: parseJson(checkpointSchema, start.checkpoint ?? "")?.workMs ?? 0, share: 1 }],
        };
        this.runs.push(run);
        this.tasksById.set(attemptId, running);
        running.done = this.runTask(running);
        return running;
    }

    /** Runs one task until it finishes, is stopped, its lease lapses or its VM is lost. */
    private async runTask(running: RunningTask): Promise<void> {
        for (;;) {
            const { cause, at } = nextEnd(running);
            const now = this.clock.now();
            if (at <= now) {
                this.end(running, cause);
                return;
            }
            await running.wake.wait(this.clock, at - now);
        }
    }

    private end(running: RunningTask, cause: EndCause): void {
        const { task, run } = running;
        const now = this.clock.now();
        Object.assign(task, END_HANDLERS[cause](running, workAt(running, now), this.faults.failAll));
        run.endedAt = now;
        run.state = task.state === "finished" || task.state === "failed" ? task.state : "stopped";
        if (task.result !== undefined) {
            run.result = task.result;
        }
        if (task.checkpoint !== undefined) {
            run.checkpoint = task.checkpoint;
        }
        this.forgetOldTasks();
    }

    private forgetOldTasks(): void {
        const ended = [...this.tasksById.values()].filter(({ task }) => task.state !== "running");
        for (const { task } of ended.slice(0, Math.max(0, ended.length - MAX_ENDED_TASKS))) {
            this.tasksById.delete(task.attemptId);
        }
    }

    private report(running: RunningTask): WorkerTask {
        const { task, payload } = running;
        if (task.state !== "running") {
            return structuredClone(task);
        }
        const knownWorkMs = workAt(running, this.clock.now() - this.progressLagMs);
        return { ...structuredClone(task), progress: shareDone(payload, knownWorkMs) };
    }
}

/** Work done at a time; before the start it is what the checkpoint held. */
const workAt = ({ paces }: RunningTask, time: Millis): Millis => {
    const pace = paces.findLast(({ at }) => at <= time);
    return pace === undefined ? paces[0].workMs : pace.workMs + (time - pace.at) * pace.share;
};

const shareDone = ({ runMs }: Payload, workMs: Millis): number => runMs === 0 ? 0 : Math.min(1, workMs / runMs);

type EndCause = "work" | "stop" | "lease" | "crash";

interface End {
    readonly cause: EndCause;
    readonly at: Millis;
}

/** The event that ends a task first; work that is done at the same moment wins. */
const nextEnd = ({ payload, paces, stop, leaseEnd, crashedAt }: RunningTask): End => {
    const { at, workMs, share } = paces.at(-1) ?? paces[0];
    const remainingMs = Math.max(0, payload.runMs - workMs);
    const ends: readonly End[] = [
        { cause: "work", at: remainingMs === 0 ? at : at + remainingMs / share },
        { cause: "crash", at: crashedAt },
        { cause: "stop", at: stop?.at ?? Infinity },
        { cause: "lease", at: leaseEnd },
    ];
    return ends.reduce((first, end) => end.at < first.at ? end : first);
};

type EndHandler = (running: RunningTask, workMs: Millis, failAll: boolean) => Partial<WorkerTask>;

/** How a task ends, by the event that ends it. */
const END_HANDLERS: { readonly [C in EndCause]: EndHandler; } = {
    work: ({ payload }, workMs, failAll) =>
        payload.fail || failAll
            ? { state: "failed", progress: 1, error: "the task failed" }
            : { state: "finished", progress: 1, result: payload.result },
    stop: ({ stop, payload }, workMs) => ({
        state: "stopped",
        progress: shareDone(payload, workMs),
        ...(stop?.writesCheckpoint === true ? { checkpoint: JSON.stringify({ workMs }) } : {}),
    }),
    lease: ({ payload }, workMs) => ({
        state: "stopped",
        progress: shareDone(payload, workMs),
        error: "the lease lapsed",
    }),
    crash: () => ({ state: "stopped", error: "the VM was lost" }),
};

const refused = <T>(detail: string): Result<T, WorkerError> => Result.err({ kind: "refused", detail });
