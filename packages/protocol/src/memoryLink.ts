import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { FrameQueue } from "./frameQueue.js";
import type { Link } from "./link.js";

/** Faults of a link inside one process. */
export interface MemoryLinkFaults {
    /** Delay of one frame, one way. */
    delayMs: () => Millis;
    /** While true, frames vanish in both directions and neither side notices. */
    isCut: () => boolean;
}

const NO_FAULTS: MemoryLinkFaults = { delayMs: () => 0, isCut: () => false };

class MemoryLinkEnd implements Link {
    isOpen = true;
    bytesSent = 0;
    peer: MemoryLinkEnd | undefined;
    private readonly queue = new FrameQueue();
    private lastArrival: Promise<void> = Promise.resolve();

    constructor(private readonly clock: Clock, private readonly faults: MemoryLinkFaults) {}

    send(frame: string): void {
        if (!this.isOpen || this.faults.isCut()) {
            return;
        }
        this.bytesSent += Buffer.byteLength(frame);
        const delay = this.faults.delayMs();
        const travel = delay === 0 ? Promise.resolve() : this.clock.sleep(delay);
        // A later frame never overtakes an earlier one, as on a TCP connection.
        this.lastArrival = Promise.all([this.lastArrival, travel]).then(() => {
            this.peer?.receive(frame);
        });
    }

    frames(): AsyncIterable<string> {
        return this.queue;
    }

    close(): void {
        if (!this.isOpen) {
            return;
        }
        this.isOpen = false;
        this.queue.end();
        this.peer?.close();
    }

    private receive(frame: string): void {
        if (this.isOpen && !this.faults.isCut()) {
            this.queue.push(frame);
        }
    }
}

/** Makes the two ends of a link inside one process. */
export const createMemoryLink = (clock: Clock, faults: MemoryLinkFaults = NO_FAULTS): readonly [Link, Link] => {
    const left = new MemoryLinkEnd(clock, faults);
    const right = new MemoryLinkEnd(clock, faults);
    left.peer = right;
    right.peer = left;
    return [left, right];
};
