import { CHUNK_COST_BYTES } from "./callerLimits.js";

const MIN_CAPACITY_BYTES = 1_024;

/** Where the cost of a body is counted. */
export interface BodyAccount {
    /** When false, the connection is closed and the body is not kept. */
    readonly isOpen: boolean;
    readonly hold: (cost: number, received: number) => void;
}

/**
 * Collects the body of one request. Chunks are copied into one buffer, because a small chunk keeps the whole buffer
 * from which it was read. The account is told the capacity of the buffer and the cost of each chunk.
 */
export class BodyBuffer {
    private buffer = Buffer.alloc(0);
    private length = 0;
    /** What the account has not been told yet: telling it for each small chunk takes longer than copying the chunk. */
    private uncountedCost = 0;
    private uncountedBytes = 0;

    constructor(private readonly maxBytes: number, private readonly account: BodyAccount) {}

    /** Returns false, and keeps nothing of the chunk, if the body exceeds the limit. */
    add(chunk: Uint8Array): boolean {
        if (!this.account.isOpen) {
            this.buffer = Buffer.alloc(0);
            this.length = 0;
            return true;
        }
        const length = this.length + chunk.length;
        if (length > this.maxBytes) {
            return false;
        }
        const added = this.reserve(length);
        this.buffer.set(chunk, this.length);
        this.length = length;
        this.uncountedCost += added + CHUNK_COST_BYTES;
        this.uncountedBytes += chunk.length;
        if (this.uncountedCost >= MIN_CAPACITY_BYTES) {
            this.account.hold(this.uncountedCost, this.uncountedBytes);
            this.uncountedCost = 0;
            this.uncountedBytes = 0;
        }
        return true;
    }

    text(): string {
        return this.buffer.toString("utf8", 0, this.length);
    }

    /** Makes room for a body of the given length; returns by how much the capacity grew. */
    private reserve(length: number): number {
        const capacity = this.buffer.length;
        if (length <= capacity) {
            return 0;
        }
        const doubled = Math.max(length, 2 * capacity, MIN_CAPACITY_BYTES);
        const grown = Buffer.allocUnsafeSlow(Math.min(doubled, Math.max(this.maxBytes, length)));
        this.buffer.copy(grown, 0, 0, this.length);
        this.buffer = grown;
        return grown.length - capacity;
    }
}
