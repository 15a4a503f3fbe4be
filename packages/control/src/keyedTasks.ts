interface KeyedTask {
    readonly done: Promise<void>;
    readonly end: AbortController;
}

/**
 * Tasks of one kind, one at a time for each key. Each has a signal of its own, because hundreds of waits on one
 * signal look like a leak to Node.js, which then warns.
 */
export class KeyedTasks {
    private readonly tasks = new Map<string, KeyedTask>();

    /** Starts the task of that key unless it runs. */
    start(key: string, work: (signal: AbortSignal) => Promise<void>): void {
        if (this.tasks.has(key)) {
            return;
        }
        const end = new AbortController();
        const done = work(end.signal).finally(() => {
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
}
