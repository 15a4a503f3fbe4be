import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { StartOrder } from "@persimmonpitch/executor/executorPort.js";
import type { Demand } from "@persimmonpitch/workload/step.js";
import type { MemoryGangs } from "./memoryGangs.js";
import type { StepWork } from "./stepWork.js";

/** Options of an in-memory executor. */
export interface StepExecutorOptions {
    readonly clock: Clock;
    readonly executorId: string;
    readonly born?: number;
    readonly service?: string;
    /** Address that the heartbeats name; by default they name none. */
    readonly address?: string;
    readonly dataCentre?: string;
    readonly labels?: readonly string[];
    readonly capacity?: Demand;
    /** Executors whose runs form gangs with each other share this. */
    readonly gangs?: MemoryGangs;
    /** What the runs of a task do; by default the payload says it. */
    readonly workOf?: (task: string, payload: string) => StepWork;
    /** Whether the ticket of a start is valid; by default none is needed. */
    readonly acceptsTicket?: (order: StartOrder) => boolean;
    /** Difference of the executor's clock to `clock`. */
    readonly clockOffsetMs?: Millis;
    readonly stopMs?: Millis;
    readonly gangTimeoutMs?: Millis;
    readonly checkpointIntervalMs?: Millis;
    readonly restoreMs?: Millis;
    /** Time until a change of the pace takes effect. */
    readonly paceMs?: Millis;
}
