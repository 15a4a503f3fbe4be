import type { Socket } from "node:net";
import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { encodeFrame, FrameDecoder, MAX_FRAME_BYTES } from "../src/frameCodec.js";
import type { Link } from "../src/link.js";
import { listenPlain } from "../src/plainTransport.js";

const LIMITS = { maxLinks: 3, maxHeldBytes: 1_000_000 };
const WAIT_MS = 5;
const ATTEMPTS = 1_000;

const waitUntil = async (isDone: () => boolean): Promise<void> => {
    for (let attempt = 0; attempt < ATTEMPTS && !isDone(); attempt++) {
        await delay(WAIT_MS);
    }
};

/** A listening process and the clients that connect to it; `openLinks` names those that are still open. */
const listen = async () => {
    const links: Link[] = [];
    const sockets: Socket[] = [];
    const server = await listenPlain({ host: "127.0.0.1", port: 0 }, link => links.push(link), LIMITS);
    const address = server.address();
    const port = typeof address === "object" ? address?.port ?? 0 : 0;
    return {
        links,
        open: async (): Promise<Socket> => {
            const socket = connect(port, "127.0.0.1");
            socket.on("error", () => undefined);
            sockets.push(socket);
            const index = links.length;
            await waitUntil(() => links.length > index);
            return socket;
        },
        openLinks: () => links.flatMap(({ isOpen }, index) => isOpen ? [index] : []),
        close: () => {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
};

// Guards against silent connections that keep other processes from connecting.
void t.test("the oldest link that has sent nothing makes room", async t => {
    const { links, open, openLinks, close } = await listen();
    const sender = await open();
    sender.write(encodeFrame("hello"));
    for await (const frame of links[0]?.frames() ?? []) {
        t.equal(frame, "hello");
        break;
    }
    await open();
    await open();
    await open();
    t.same(openLinks(), [0, 2, 3]);
    close();
});

// Guards against memory exhaustion by many links with a frame that never ends.
void t.test("the link that holds most is closed", async t => {
    const { open, openLinks, close } = await listen();
    const sockets = [await open(), await open(), await open()];
    const header = Buffer.alloc(4);
    header.writeUInt32BE(MAX_FRAME_BYTES);
    for (const [index, bytes] of [200_000, 500_000, 400_000].entries()) {
        sockets[index]?.write(Buffer.concat([header, Buffer.alloc(bytes)]));
    }
    await waitUntil(() => openLinks().length < 3);
    t.same(openLinks().length, 2);
    t.ok(openLinks().includes(0), "the link that holds least stays open");
    close();
});

// Guards against a frame in chunks of one byte that takes a hundred times its size.
void t.test("small chunks of a frame are joined", t => {
    const decoder = new FrameDecoder();
    const frame = "x".repeat(100_000);
    const frames: string[] = [];
    let mostChunks = 0;
    for (const byte of encodeFrame(frame)) {
        frames.push(...decoder.decode(Buffer.of(byte)).unwrapOr([]));
        mostChunks = Math.max(mostChunks, decoder.chunkCount);
    }
    t.same(frames, [frame]);
    t.ok(mostChunks < 100, `${mostChunks} chunks`);
    t.end();
});
