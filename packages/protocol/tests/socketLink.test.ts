import { Duplex } from "node:stream";
import { setImmediate } from "node:timers/promises";
import t from "tap";
import { FrameDecoder } from "../src/frameCodec.js";
import { SocketLink } from "../src/socketLink.js";

/** A socket that records the bytes of each system call. */
class RecordingSocket extends Duplex {
    readonly calls: Buffer[] = [];

    override _read(): void {
        // Nothing is received.
    }

    override _write(chunk: Buffer, _encoding: BufferEncoding, callback: () => void): void {
        this.calls.push(chunk);
        callback();
    }

    override _writev(chunks: readonly { readonly chunk: Buffer; }[], callback: () => void): void {
        this.calls.push(Buffer.concat(chunks.map(({ chunk }) => chunk)));
        callback();
    }
}

// Guards against a system call for each frame, which took an eighth of a busy controller's processor time, and against
// frames that are held back.
void t.test("frames of one turn of the event loop share one system call", async t => {
    const socket = new RecordingSocket();
    const link = new SocketLink(socket);
    const sendAll = async (frames: readonly string[]) => {
        frames.forEach(frame => {
            link.send(frame);
        });
        await setImmediate();
        await setImmediate();
    };
    await sendAll(["one", "two", "three"]);
    await sendAll(["four"]);
    const decoder = new FrameDecoder();
    t.same(socket.calls.map(bytes => decoder.decode(bytes).unwrapOr([])), [["one", "two", "three"], ["four"]]);
});
