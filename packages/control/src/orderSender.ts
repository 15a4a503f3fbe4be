import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { StartRefusal } from "@persimmonpitch/workload/executorReport.js";
import type { AdviceBook } from "./adviceBook.js";
import type { AgentConnection } from "./agentTask.js";
import type { ControllerContext } from "./controllerContext.js";
import type { ExecutorState, HeldRun, StrayRun } from "./executorState.js";
import type { Fleet } from "./fleet.js";
import type { JobBook } from "./jobBook.js";
import { LEASE_MS } from "./leaseRules.js";

/** What an order sender works on. */
export interface OrderSenderOptions {
    readonly fleet: Fleet;
    readonly advice: AdviceBook;
    readonly jobs: JobBook;
    readonly context: ControllerContext;
    readonly epoch: number;
    readonly connectionOf: (vm: string) => AgentConnection | undefined;
    readonly onChanged: () => void;
}

/** The agent repeats an order until the executor answers; this bounds one call, not the order. */
const ORDER_TIMEOUT_MS: Millis = 15_000;
const STOP_RETRY_MS: Millis = 300;

/** How long an executor gets no new work after it refused some. */
const PAUSE_MS: Readonly<Record<StartRefusal, Millis>> = {
    fence: 0,
    old: 0,
    late: 200,
    room: 500,
    ticket: 0,
    unhealthy: 1_000,
    invalid: 0,
    incarnation: 200,
    draining: 0,
};

/** Sends orders to agents and settles their answers. */
export class OrderSender {
    private readonly strayStops = new Set<string>();

    constructor(private readonly options: OrderSenderOptions) {}

    /** Starts a run whose claim is durable. */
    start(held: HeldRun): void {
        const state = this.stateOf(held);
        if (state === undefined) {
            return;
        }
        const isStale = held.isStopping || !state.isAttached || state.born !== held.born
            || state.info?.isDraining === true;
        if (isStale) {
            // Nothing was sent, so nothing can run.
            this.options.fleet.lose(held, "notSent");
            this.options.onChanged();
            return;
        }
        void this.sendStart(state, held);
    }

    /** Sends again the orders of runs that an executor does not list after the connection to its agent broke. */
    resumeStarts(state: ExecutorState): void {
        for (const held of state.runs.values()) {
            if (held.isClaimed && !held.isInherited && held.firstListedAt === undefined && !held.isStopping) {
                void this.sendStart(state, held);
            }
            if (held.isStopping) {
                held.isStopSent = false;
                this.stop(held);
            }
        }
    }

    /** Ends a run; its room stays taken until the executor lists the end. */
    stop(held: HeldRun): void {
        held.isStopping = true;
        const state = this.stateOf(held);
        // A run that is not claimed yet is dropped when its claim is durable.
        if (state?.isAttached === true && held.isClaimed && !held.isStopSent) {
            held.isStopSent = true;
            void this.sendStop(state, held);
        }
    }

    /** Ends a run that no claim covers. */
    stopStray(state: ExecutorState, stray: StrayRun): void {
        const id = `${stray.task}#${stray.run}`;
        if (!state.isAttached || this.strayStops.has(id)) {
            return;
        }
        this.strayStops.add(id);
        this.options.context.logger.log("info", "run.stray", { task: stray.task, run: stray.run, vm: state.vm });
        void this.callStop(state, stray).finally(() => {
            this.strayStops.delete(id);
        });
    }

    private stateOf(held: HeldRun): ExecutorState | undefined {
        const state = this.options.fleet.executors.get(held.executorId);
        return state?.runs.get(held.task) === held ? state : undefined;
    }

    private async sendStart(state: ExecutorState, held: HeldRun): Promise<void> {
        const { context, epoch, jobs, fleet, advice, onChanged } = this.options;
        const connection = this.options.connectionOf(state.vm);
        const open = jobs.jobs.get(held.jobId);
        if (connection === undefined || open === undefined || state.clock === undefined) {
            return;
        }
        const deadlineMs = Math.floor(state.clock.readingMs + context.clock.now() - state.clock.at + LEASE_MS);
        state.deadlineMs = Math.max(state.deadlineMs, deadlineMs);
        const checkpoint = open.task(held.key).checkpoint;
        const ticket = advice.ticketOf(held);
        const answer = await connection.call("agent.start", {
            epoch,
            executorId: state.executorId,
            born: held.born,
            task: held.task,
            run: held.run,
            payload: open.job.payload,
            ...(checkpoint === undefined ? {} : { checkpoint }),
            ...(ticket === undefined ? {} : { ticket }),
            deadlineMs: state.deadlineMs,
        }, ORDER_TIMEOUT_MS);
        if (answer.isErr || this.stateOf(held) === undefined) {
            return;
        }
        switch (answer.value.kind) {
            case "started":
                held.startClockMs = answer.value.clockMs;
                break;
            case "refused":
                if (answer.value.reason === "ticket") {
                    advice.discard(held);
                }
                state.pausedUntil = context.clock.now() + PAUSE_MS[answer.value.reason];
                fleet.lose(held, `refused: ${answer.value.reason}`);
                break;
            case "abandoned":
            case "unclear":
                break;
            default: {
                const never: never = answer.value;
                return never;
            }
        }
        onChanged();
    }

    private async sendStop(state: ExecutorState, held: HeldRun): Promise<void> {
        const clockMs = await this.callStop(state, held);
        if (clockMs === undefined && this.stateOf(held) !== undefined) {
            await this.options.context.clock.sleep(STOP_RETRY_MS);
            held.isStopSent = false;
        }
        else if (clockMs !== undefined) {
            held.stopClockMs = clockMs;
        }
        this.options.onChanged();
    }

    /** The executor's clock when it answered; undefined while that is not known. */
    private async callStop(state: ExecutorState, { task, run }: StrayRun | HeldRun): Promise<number | undefined> {
        const { epoch, connectionOf } = this.options;
        const connection = connectionOf(state.vm);
        const answer = await connection?.call(
            "agent.stop",
            { epoch, executorId: state.executorId, task, run },
            ORDER_TIMEOUT_MS,
        );
        return answer?.isOk === true && answer.value.kind === "stopped" ? answer.value.clockMs : undefined;
    }
}
