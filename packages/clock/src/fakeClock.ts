import type { Clock, Millis } from "./clock.js";

interface Timer {
    readonly dueAt: Millis;
    readonly order: number;
    readonly fire: () => void;
}

/** Turns of the event loop that let promise chains and in-process messages settle between two timers. */
const SETTLE_TURNS = 4;

/** A clock for tests that moves only when told to. */
export class FakeClock implements Clock {
    private time: Millis;
    private order = 0;
    private timers: Timer[] = [];

    constructor(start: Millis = 0, private readonly wallOffset: Millis = 1_764_000_000_000) {
        this.time = start;
    }

    now(): Millis {
        return this.time;
    }

    wallTime(): Millis {
        return this.wallOffset + this.time;
    }

    sleep(duration: Millis, signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            if (signal?.aborted === true) {
                resolve();
                return;
            }
            const finish = () => {
                this.timers = this.timers.filter(other => other !== timer);
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            this.order += 1;
            const timer: Timer = { dueAt: this.time + Math.max(0, duration), order: this.order, fire: finish };
            this.timers.push(timer);
            signal?.addEventListener("abort", finish);
        });
    }

    /** Moves time forward by `duration`, firing timers in order of their due time. */
    async advance(duration: Millis): Promise<void> {
        const end = this.time + duration;
        await this.settle();
        for (let timer = this.nextDue(end); timer !== undefined; timer = this.nextDue(end)) {
            this.time = timer.dueAt;
            timer.fire();
            await this.settle();
        }
        this.time = end;
    }

    private nextDue(end: Millis): Timer | undefined {
        return this.timers
            .filter(timer => timer.dueAt <= end)
            .sort((a, b) => a.dueAt - b.dueAt || a.order - b.order)[0];
    }

    private async settle(): Promise<void> {
        for (let turn = 0; turn < SETTLE_TURNS; turn += 1) {
            await new Promise(resolve => {
                setImmediate(resolve);
            });
        }
    }
}
