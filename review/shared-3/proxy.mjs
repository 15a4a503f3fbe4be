// A proxy before a server on loopback, which can be cut: open connections are reset and new ones refused, as a cut with
// `refuse` does.
import * as net from "node:net";

const LOCAL = "127.0.0.1";

/** Starts a proxy before the server that `target` gives the address of. */
export const startProxy = async target => {
    const sockets = new Set();
    const create = () =>
        net.createServer(inner => {
            const outer = net.connect(Number(target().split(":")[1]), LOCAL);
            [[inner, outer], [outer, inner]].forEach(([from, to]) => {
                sockets.add(from);
                from.pipe(to);
                from.on("error", () => to.destroy());
                from.on("close", () => {
                    sockets.delete(from);
                    to.destroy();
                });
            });
        });
    const open = (server, port) =>
        new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, LOCAL, resolve);
        });
    let server = create();
    await open(server, 0);
    const { port } = server.address();
    const cut = () => {
        server.close();
        sockets.forEach(socket => {
            socket.resetAndDestroy();
        });
    };
    return {
        address: `${LOCAL}:${port}`,
        cut,
        heal: async () => {
            server = create();
            await open(server, port);
        },
        close: cut,
    };
};
