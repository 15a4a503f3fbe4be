import type { Millis } from "@persimmonpitch/clock/clock.js";
import { EventQueue } from "./eventQueue.js";

/** A plain event loop on simulated time. */
export class EventLoop {
    now: Millis = 0;
    private readonly events = new EventQueue<() => void>();

    after(delay: Millis, run: () => void): void {
        this.events.push(this.now + delay, run);
    }

    /** Runs all events that are due until `end`, also those that are added meanwhile. */
    runUntil(end: Millis): void {
        for (let event = this.events.popUntil(end); event !== undefined; event = this.events.popUntil(end)) {
            this.now = event.at;
            event.value();
        }
        this.now = end;
    }
}
