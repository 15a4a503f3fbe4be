import { Result } from "true-myth";

/** Bytes of the big-endian length before each frame. */
export const FRAME_HEADER_BYTES = 4;

/** A larger frame is refused, so that a faulty sender cannot exhaust the memory of the receiver. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

/** A frame that cannot be decoded. */
export interface FrameError {
    readonly kind: "frameTooLarge";
    readonly length: number;
}

/** Puts a length before the frame. */
export const encodeFrame = (frame: string): Buffer => {
    const length = Buffer.byteLength(frame);
    const encoded = Buffer.allocUnsafe(FRAME_HEADER_BYTES + length);
    encoded.writeUInt32BE(length, 0);
    encoded.write(frame, FRAME_HEADER_BYTES);
    return encoded;
};

/** Cuts a stream of bytes into frames. */
export class FrameDecoder {
    private chunks: Buffer[] = [];
    private buffered = 0;

    /** Takes bytes as they arrive and returns the frames that are complete. */
    decode(chunk: Buffer): Result<readonly string[], FrameError> {
        this.chunks.push(chunk);
        this.buffered += chunk.length;
        const frames: string[] = [];
        while (this.buffered >= FRAME_HEADER_BYTES) {
            const head = this.join(FRAME_HEADER_BYTES);
            const length = head.readUInt32BE(0);
            if (length > MAX_FRAME_BYTES) {
                return Result.err({ kind: "frameTooLarge", length });
            }
            if (this.buffered < FRAME_HEADER_BYTES + length) {
                break;
            }
            const bytes = this.join(FRAME_HEADER_BYTES + length);
            frames.push(bytes.toString("utf8", FRAME_HEADER_BYTES, FRAME_HEADER_BYTES + length));
            this.drop(FRAME_HEADER_BYTES + length);
        }
        return Result.ok(frames);
    }

    private join(needed: number): Buffer {
        const [first] = this.chunks;
        if (first !== undefined && first.length >= needed) {
            return first;
        }
        const joined = Buffer.concat(this.chunks);
        this.chunks = [joined];
        return joined;
    }

    private drop(length: number): void {
        const [first] = this.chunks;
        if (first !== undefined) {
            this.chunks[0] = first.subarray(length);
        }
        this.buffered -= length;
    }
}
