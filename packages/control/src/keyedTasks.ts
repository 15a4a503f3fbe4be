import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";

export interface KeyedTasksOptions {
    /** Kind of task, shown in log lines. */
    readonly name: string;
    readonly clock: Clock;
    readonly logger: Logger;
}

interface KeyedTask {
    readonly done: Promise<void>;
    readonly abortController: AbortController;
}

/** Delay before a failed task may be started again, which limits the cost of one that always fails. */
const RESTART_DELAY_MS: Millis = 1_000;

/**
 * Runs at most one task per key. Each task has its own abort signal, because Node.js reports hundreds of listeners on
 * one signal as a possible leak. A failed task does not affect the others: neither the messages nor the row of one peer
 * may end the process.
 */
export class KeyedTasks {
    private readonly tasks = new Map<string, KeyedTask>();

    constructor(private readonly options: KeyedTasksOptions) {}

    /** Starts a task for the key unless one is running. */
    start(key: string, work: (signal: AbortSignal) => Promise<void>): void {
        if (this.tasks.has(key)) {
            return;
        }
        const abortController = new AbortController();
        const done = work(abortController.signal)
            .catch((err: unknown) => this.onFailed(key, err, abortController.signal))
            .finally(() => {
                this.tasks.delete(key);
            });
        this.tasks.set(key, { done, abortController });
    }

    /** Aborts all tasks and waits for them to end. */
    async end(): Promise<void> {
        const tasks = [...this.tasks.values()];
        tasks.forEach(({ abortController }) => {
            abortController.abort();
        });
        await Promise.all(tasks.map(({ done }) => done));
    }

    private async onFailed(key: string, err: unknown, signal: AbortSignal): Promise<void> {
        const { name, clock, logger } = this.options;
        logger.log("error", "task.failed", {
            task: name,
            key,
            detail: err instanceof Error ? err.message : String(err),
        });
        await clock.sleep(RESTART_DELAY_MS, signal);
    }
}
