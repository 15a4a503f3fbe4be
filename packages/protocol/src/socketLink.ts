import type { Duplex } from "node:stream";
import { encodeFrame, FrameDecoder, MAX_FRAME_BYTES } from "./frameDecoder.js";
import { FrameQueue } from "./frameQueue.js";
import type { Link } from "./link.js";

/** A peer that does not read loses its connection once this much waits for it. */
const MAX_UNSENT_BYTES = 4 * MAX_FRAME_BYTES;

/** A link over a connected socket. */
export class SocketLink implements Link {
    isOpen = true;
    bytesSent = 0;
    private readonly queue = new FrameQueue();

    constructor(private readonly socket: Duplex) {
        const decoder = new FrameDecoder();
        socket.on("data", (chunk: Buffer) => {
            decoder.decode(chunk).match({
                Ok: frames => {
                    frames.forEach(frame => {
                        this.queue.push(frame);
                    });
                },
                Err: () => {
                    this.close();
                },
            });
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

    send(frame: string): void {
        if (!this.isOpen) {
            return;
        }
        const encoded = encodeFrame(frame);
        this.bytesSent += encoded.length;
        this.socket.write(encoded);
        if (this.socket.writableLength > MAX_UNSENT_BYTES) {
            this.close();
        }
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
        this.socket.destroy();
    }
}
