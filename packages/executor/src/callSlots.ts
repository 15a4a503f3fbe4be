/** A caller that waits for a slot. */
interface Waiter {
    readonly grant: () => void;
}

/** Bounds the number of calls that are under way at a time. Further calls wait in order. */
export class CallSlots {
    private readonly waiters = new Set<Waiter>();

    constructor(private free: number) {}

    /** Performs a call once a slot is free. Returns `undefined` if `signal` aborts first. */
    async run<T>(call: () => Promise<T>, signal?: AbortSignal): Promise<T | undefined> {
        if (!await this.acquire(signal)) {
            return undefined;
        }
        try {
            return await call();
        }
        finally {
            this.release();
        }
    }

    private async acquire(signal?: AbortSignal): Promise<boolean> {
        if (signal?.aborted === true) {
            return false;
        }
        if (this.free > 0) {
            this.free -= 1;
            return true;
        }
        return new Promise(resolve => {
            const onAbort = () => {
                this.waiters.delete(waiter);
                resolve(false);
            };
            const waiter: Waiter = {
                grant: () => {
                    signal?.removeEventListener("abort", onAbort);
                    resolve(true);
                },
            };
            this.waiters.add(waiter);
            signal?.addEventListener("abort", onAbort, { once: true });
        });
    }

    /** Hands the slot to the caller that has waited longest. */
    private release(): void {
        const [next] = this.waiters;
        if (next === undefined) {
            this.free += 1;
            return;
        }
        this.waiters.delete(next);
        next.grant();
    }
}
