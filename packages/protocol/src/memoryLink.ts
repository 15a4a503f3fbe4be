import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { FrameQueue } from "./frameQueue.js";
import type { Link } from "./link.js";

/** Faults injected into a link between two parts of one process. */
export interface MemoryLinkFaults {
    /** Returns the one-way delay of the next frame. */
    delayMs: () => Millis;
    /** While it returns true, frames in both directions are dropped and neither side is told. */
    isPartitioned: () => boolean;
}

const NO_FAULTS: MemoryLinkFaults = { delayMs: () => 0, isPartitioned: () => false };

/** One side of a link inside one process. */
class MemoryLinkEnd implements Link {
    isOpen = true;
    bytesSent = 0;
    peer: MemoryLinkEnd | undefined;
    private readonly receivedFrames = new FrameQueue();
    private lastDelivery: Promise<void> = Promise.resolve();

    constructor(private readonly clock: Clock, private readonly faults: MemoryLinkFaults) {}

    send(frame: string): void {
        if (!this.isOpen || this.faults.isPartitioned()) {
            return;
        }
        this.bytesSent += Buffer.byteLength(frame);
        const delayMs = this.faults.delayMs();
        const transit = delayMs === 0 ? Promise.resolve() : this.clock.sleep(delayMs);
        // Frames are delivered in the order in which they were sent, as on a TCP connection.
        this.lastDelivery = Promise.all([this.lastDelivery, transit]).then(() => {
            this.peer?.receive(frame);
        });
    }

    frames(): AsyncIterable<string> {
        return this.receivedFrames;
    }

    close(): void {
        if (!this.isOpen) {
            return;
        }
        this.isOpen = false;
        this.receivedFrames.end();
        this.peer?.close();
    }

    private receive(frame: string): void {
        if (this.isOpen && !this.faults.isPartitioned()) {
            this.receivedFrames.push(frame);
        }
    }
}

/** Creates a link inside one process and returns its two ends. */
export const createMemoryLink = (clock: Clock, faults: MemoryLinkFaults = NO_FAULTS): readonly [Link, Link] => {
    const firstEnd = new MemoryLinkEnd(clock, faults);
    const secondEnd = new MemoryLinkEnd(clock, faults);
    firstEnd.peer = secondEnd;
    secondEnd.peer = firstEnd;
    return [firstEnd, secondEnd];
};
