import type { Link } from "@persimmonpitch/protocol/link.js";

/** Called for each call that arrives over a link, with its method. */
export type MethodListener = (method: string) => void;

const METHOD = /"method":"([a-zA-Z.]+)"/;

async function* observe(frames: AsyncIterable<string>, onMethod: MethodListener): AsyncGenerator<string> {
    for await (const frame of frames) {
        const method = METHOD.exec(frame)?.[1];
        if (method !== undefined) {
            onMethod(method);
        }
        yield frame;
    }
}

/** A link that tells which methods the other side calls. */
export const observeLink = (link: Link, onMethod: MethodListener): Link => ({
    get isOpen() {
        return link.isOpen;
    },
    get bytesSent() {
        return link.bytesSent;
    },
    send: frame => {
        link.send(frame);
    },
    frames: () => observe(link.frames(), onMethod),
    close: () => {
        link.close();
    },
});
