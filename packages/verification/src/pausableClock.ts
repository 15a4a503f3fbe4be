import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";

/** The clock of one process in a test: while the process is paused, its timers do not fire. */
export class PausableClock implements Clock {
    private paused: Promise<void> | undefined;
    private resumeNow: () => void = () => undefined;

    constructor(private readonly clock: Clock) {}

    get isPaused(): boolean {
        return this.paused !== undefined;
    }

    now(): Millis {
        return this.clock.now();
    }

    wallTime(): Millis {
        return this.clock.wallTime();
    }

    async sleep(duration: Millis, signal?: AbortSignal): Promise<void> {
        await this.clock.sleep(duration, signal);
        await this.paused;
    }

    pause(): void {
        this.paused ??= new Promise(resolve => {
            this.resumeNow = resolve;
        });
    }

    resume(): void {
        this.paused = undefined;
        this.resumeNow();
    }
}
