import type { Duplex } from "node:stream";
import { encodeFrame, FrameDecoder, MAX_FRAME_BYTES } from "./frameCodec.js";
import { FrameQueue } from "./frameQueue.js";
import type { Link } from "./link.js";

/** The link closes when more unsent bytes than this are buffered, because the peer does not read. */
const MAX_UNSENT_BYTES = 4 * MAX_FRAME_BYTES;

/** A link over a connected socket. It closes on a socket error and on a frame that cannot be decoded. */
export class SocketLink implements Link {
    isOpen = true;
    bytesSent = 0;
    /** Whether a whole frame has been received. */
    hasReceived = false;
    private readonly decoder = new FrameDecoder();
    private readonly receivedFrames = new FrameQueue();
    private isFlushScheduled = false;

    constructor(private readonly socket: Duplex, onBuffered: () => void = () => undefined) {
        socket.on("data", (chunk: Buffer) => {
            this.decoder.decode(chunk).match({
                Ok: frames => {
                    this.hasReceived ||= frames.length > 0;
                    frames.forEach(frame => {
                        this.receivedFrames.push(frame);
                    });
                },
                Err: () => {
                    this.close();
                },
            });
            onBuffered();
        });
        socket.on("error", () => {
            this.close();
        });
        socket.on("close", () => {
            this.close();
        });
        socket.on("end", () => {
            this.close();
        });
    }

    /** Bytes that the link holds: of an incomplete frame, and of what the peer has not read. */
    get heldBytes(): number {
        return this.isOpen ? this.decoder.bufferedBytes + this.socket.writableLength : 0;
    }

    send(frame: string): void {
        if (!this.isOpen) {
            return;
        }
        const encoded = encodeFrame(frame);
        this.bytesSent += encoded.length;
        this.flushLater();
        this.socket.write(encoded);
        if (this.socket.writableLength > MAX_UNSENT_BYTES) {
            this.close();
        }
    }

    /** Frames that are sent in one turn of the event loop share one system call, such as the orders of one pass. */
    private flushLater(): void {
        if (this.isFlushScheduled) {
            return;
        }
        this.isFlushScheduled = true;
        this.socket.cork();
        setImmediate(() => {
            this.isFlushScheduled = false;
            this.socket.uncork();
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
        this.socket.destroy();
    }
}
