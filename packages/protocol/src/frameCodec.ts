import { Result } from "true-myth";

/** Size of the big-endian length that precedes each frame. */
export const FRAME_HEADER_BYTES = 4;

/** Larger frames are rejected, so that a faulty sender cannot exhaust the receiver's memory. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

/**
 * Chunks of an incomplete frame that are kept as they are. Each costs about 100 bytes apart from its content, so that a
 * frame in chunks of one byte would take a hundred times its size.
 */
const MAX_CHUNKS = 64;

/** Why a frame cannot be decoded. */
export interface FrameError {
    readonly kind: "frameTooLarge";
    readonly length: number;
}

/** Encodes a frame as its length followed by its UTF-8 bytes. */
export const encodeFrame = (frame: string): Buffer => {
    const length = Buffer.byteLength(frame);
    const encoded = Buffer.allocUnsafe(FRAME_HEADER_BYTES + length);
    encoded.writeUInt32BE(length, 0);
    encoded.write(frame, FRAME_HEADER_BYTES);
    return encoded;
};

/** Splits a byte stream into frames. */
export class FrameDecoder {
    private chunks: Buffer[] = [];
    /** Bytes of the incomplete frame. */
    bufferedBytes = 0;

    get chunkCount(): number {
        return this.chunks.length;
    }

    /** Buffers a chunk of the stream and returns the frames that it completes. */
    decode(chunk: Buffer): Result<readonly string[], FrameError> {
        this.chunks.push(chunk);
        this.bufferedBytes += chunk.length;
        this.joinSmallChunks();
        const frames: string[] = [];
        while (this.bufferedBytes >= FRAME_HEADER_BYTES) {
            const header = this.contiguousBytes(FRAME_HEADER_BYTES);
            const length = header.readUInt32BE(0);
            if (length > MAX_FRAME_BYTES) {
                return Result.err({ kind: "frameTooLarge", length });
            }
            if (this.bufferedBytes < FRAME_HEADER_BYTES + length) {
                break;
            }
            const bytes = this.contiguousBytes(FRAME_HEADER_BYTES + length);
            frames.push(bytes.toString("utf8", FRAME_HEADER_BYTES, FRAME_HEADER_BYTES + length));
            this.consume(FRAME_HEADER_BYTES + length);
        }
        return Result.ok(frames);
    }

    /** Joins chunks of similar size, so that each byte is copied a logarithmic number of times. */
    private joinSmallChunks(): void {
        while (this.chunks.length > MAX_CHUNKS) {
            const [previous, last] = this.chunks.slice(-2);
            if (previous === undefined || last === undefined || previous.length > last.length) {
                return;
            }
            this.chunks.splice(-2, 2, Buffer.concat([previous, last]));
        }
    }

    /** Returns a buffer that starts with the next `byteCount` bytes; at least that many must be buffered. */
    private contiguousBytes(byteCount: number): Buffer {
        const [first] = this.chunks;
        if (first !== undefined && first.length >= byteCount) {
            return first;
        }
        const joined = Buffer.concat(this.chunks);
        this.chunks = [joined];
        return joined;
    }

    private consume(length: number): void {
        const [first] = this.chunks;
        if (first !== undefined) {
            this.chunks[0] = first.subarray(length);
        }
        this.bufferedBytes -= length;
    }
}
