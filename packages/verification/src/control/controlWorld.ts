import type { Millis } from "@persimmonpitch/clock/clock.js";
import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { rowKeys } from "@persimmonpitch/control/rows.js";
import { MemoryRowStore } from "@persimmonpitch/standins/memoryRowStore.js";
import { MemoryStepExecutor } from "@persimmonpitch/standins/memoryStepExecutor.js";
import type { StepWork } from "@persimmonpitch/standins/stepWork.js";
import { stepWorkSchema } from "@persimmonpitch/standins/stepWork.js";
import type { RunList } from "@persimmonpitch/workload/executorReport.js";
import { stepJobSchema } from "@persimmonpitch/workload/stepJob.js";
import type { RowTransaction, StoredRow } from "@persimmonpitch/workload/storedRow.js";
import { taskName } from "@persimmonpitch/workload/taskName.js";
import type { ControlBounds } from "./controlState.js";
import { JOB_ID, ReplayController } from "./replayController.js";

/** Length of a tick; two of them are the longest lease that an executor takes. */
export const TICK_MS: Millis = 5_000;

/** Time of the start of the first incarnation of each executor; each later one is one higher. */
const FIRST_BORN = 1;

/** Time that each step of the replay takes. */
const STEP_MS: Millis = 1;

/** A run that is stopped ends only when the replay says so. */
const NEVER_MS: Millis = 1e12;

export const executorId = (executor: number): string => `executor-${executor}`;
export const taskKeyOf = (task: number): string => `0.0.${task}`;
export const taskNameOf = (task: number): string => taskName(JOB_ID, taskKeyOf(task));

/** The end of a deadline's tick, on the clock of executors. */
export const deadlineMsOf = (deadline: number): Millis => (deadline + 1) * TICK_MS;

interface ReplayExecutor {
    readonly executor: MemoryStepExecutor;
    readonly options: { stopMs: Millis; };
    readonly works: Map<string, StepWork>;
}

/** The real parts that a trace is replayed against. */
export class ControlWorld {
    readonly clock = new FakeClock();
    readonly store = new MemoryRowStore(this.clock);
    readonly controllers = new Map<number, ReplayController>();
    /** Commits that take effect later, by epoch and version of the row. */
    readonly late = new Map<string, RowTransaction>();
    /** Lists that are under way to a controller, by epoch and executor. */
    readonly reports = new Map<string, RunList>();
    readonly executors: readonly ReplayExecutor[];
    private ticks = 0;

    constructor(readonly bounds: ControlBounds) {
        this.executors = Array.from({ length: bounds.executors }, (_, index) => this.createExecutor(index));
    }

    async putJob(): Promise<void> {
        const { tasks } = this.bounds;
        const job = stepJobSchema.parse({
            jobId: JOB_ID,
            queue: "q",
            payload: "",
            steps: [{ count: tasks, demand: {}, isGang: tasks > 1 }],
            acceptedAt: 0,
        });
        await this.store.client("entry").commit({
            puts: [{ key: rowKeys.job(JOB_ID), value: JSON.stringify(job) }],
        });
    }

    row(key: string): StoredRow | undefined {
        return this.store.snapshot().find(other => other.key === key);
    }

    async takeRole(index: number, epoch: number): Promise<void> {
        const client = this.store.client(`entry-${index}`);
        const role = { vm: `entry-${index}`, instanceId: `entry-${index}`, epoch, isReleased: false };
        const taken = await client.commit({
            expected: [{ key: rowKeys.role, version: this.row(rowKeys.role)?.version ?? 0 }],
            puts: [{ key: rowKeys.role, value: JSON.stringify(role) }],
        });
        if (taken.isOk) {
            const rows = this.store.snapshot();
            this.controllers.set(
                index,
                new ReplayController(this.clock, client, epoch, taken.value.version, rows),
            );
        }
    }

    /** Ends a controller that lost the role or its process. */
    drop(index: number): void {
        this.controllers.get(index)?.stop();
        this.controllers.delete(index);
    }

    dropEpoch(epoch: number): void {
        for (const [index, controller] of this.controllers) {
            if (controller.epoch === epoch) {
                this.drop(index);
            }
        }
    }

    async pass(duration: Millis = STEP_MS): Promise<void> {
        await this.clock.advance(duration);
    }

    async tick(): Promise<void> {
        this.ticks += 1;
        await this.clock.advance(this.ticks * TICK_MS - this.clock.now());
    }

    /** Lets a run end by itself. */
    async endRun(index: number, task: number, fails: boolean): Promise<void> {
        const replayed = this.executors[index];
        const work = replayed?.works.get(taskNameOf(task));
        if (work !== undefined) {
            Object.assign(work, { runMs: 0, fails });
        }
        replayed?.executor.setFaults({});
        await this.pass();
    }

    async endStopped(index: number, task: number, run: number, fence: number): Promise<void> {
        const replayed = this.executors[index];
        if (replayed !== undefined) {
            replayed.options.stopMs = 0;
            await replayed.executor.stop({
                executorId: executorId(index),
                fencingToken: fence,
                task: taskNameOf(task),
                run,
            });
            replayed.options.stopMs = NEVER_MS;
        }
        await this.pass();
    }

    lifeOf(born: number): number {
        return born - FIRST_BORN + 1;
    }

    stop(): void {
        for (const index of this.controllers.keys()) {
            this.drop(index);
        }
    }

    private createExecutor(index: number): ReplayExecutor {
        const works = new Map<string, StepWork>();
        const options = {
            clock: this.clock,
            executorId: executorId(index),
            born: FIRST_BORN,
            stopMs: NEVER_MS,
            // The replay ends the members of a gang together, and each executor may fail alone.
            workOf: (task: string): StepWork => {
                const work = stepWorkSchema.parse({ runMs: NEVER_MS });
                works.set(task, work);
                return work;
            },
        };
        return { executor: new MemoryStepExecutor(options), options, works };
    }
}
