import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";

/** What keyed tasks work on. */
export interface KeyedTasksOptions {
    /** What the tasks are for, for log lines. */
    readonly name: string;
    readonly clock: Clock;
    readonly logger: Logger;
}

interface KeyedTask {
    readonly done: Promise<void>;
    readonly end: AbortController;
}

/** A task that failed starts again only after this long, so that one that always fails costs little. */
const FAILED_PAUSE_MS: Millis = 1_000;

/**
 * Tasks of one kind, one at a time for each key. Each has a signal of its own, because hundreds of waits on one
 * signal look like a leak to Node.js, which then warns. A task that fails ends alone: what one peer sends or is named
 * by must not end the process.
 */
export class KeyedTasks {
    private readonly tasks = new Map<string, KeyedTask>();

    constructor(private readonly options: KeyedTasksOptions) {}

    /** Starts the task of that key unless it runs. */
    start(key: string, work: (signal: AbortSignal) => Promise<void>): void {
        if (this.tasks.has(key)) {
            return;
        }
        const end = new AbortController();
        const done = work(end.signal)
            .catch((err: unknown) => this.onFailed(key, err, end.signal))
            .finally(() => {
                this.tasks.delete(key);
            });
        this.tasks.set(key, { done, end });
    }

    /** Aborts all tasks and resolves once they are over. */
    async end(): Promise<void> {
        const tasks = [...this.tasks.values()];
        tasks.forEach(({ end }) => {
            end.abort();
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
        await clock.sleep(FAILED_PAUSE_MS, signal);
    }
}
