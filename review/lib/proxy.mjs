// A TCP proxy in front of one address, that can cut the path: nothing passes and no connection is answered. Connections
// that were open during a cut are reset when it heals, so nothing that was sent meanwhile arrives late.
import { connect, createServer } from "node:net";

/** Starts a proxy for a loopback port. */
export const startProxy = async targetPort => {
    const pairs = new Set();
    let isCut = false;
    const server = createServer(client => {
        if (isCut) {
            const pair = { client, target: undefined };
            pairs.add(pair);
            client.on("error", () => undefined);
            client.once("close", () => pairs.delete(pair));
            client.resume();
            return;
        }
        const target = connect(targetPort(), "127.0.0.1");
        const pair = { client, target };
        pairs.add(pair);
        const end = () => {
            pairs.delete(pair);
            // A side that hears nothing during a cut doesn't learn of the end of the other.
            if (!isCut) {
                client.destroy();
                target.destroy();
            }
        };
        for (const [from, to] of [[client, target], [target, client]]) {
            from.on("data", chunk => {
                if (!isCut) {
                    to.write(chunk);
                }
            });
            from.on("error", () => undefined);
            from.once("close", end);
        }
        target.once("error", () => {
            if (!isCut) {
                client.resetAndDestroy();
            }
        });
    });
    await new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(0, "127.0.0.1", resolve);
    });
    let held = [];
    return {
        address: `127.0.0.1:${server.address().port}`,
        cut: () => {
            isCut = true;
            held = [...pairs];
        },
        heal: () => {
            isCut = false;
            [...held, ...pairs].forEach(({ client, target }) => {
                client.resetAndDestroy();
                target?.destroy();
            });
            pairs.clear();
        },
        close: () => {
            [...held, ...pairs].forEach(({ client, target }) => {
                client.destroy();
                target?.destroy();
            });
            server.close();
        },
    };
};
