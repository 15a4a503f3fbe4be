import type { Server, Socket } from "node:net";
import { connect as connectTcp, createServer } from "node:net";
import { Result } from "true-myth";
import type { Link } from "./link.js";
import { SocketLink } from "./socketLink.js";
import type { Address } from "./transport.js";

/** Why a connection could not be opened. */
export interface ConnectFailure {
    /** Nothing listens there, so the process at that address is down. */
    readonly isRefused: boolean;
    readonly detail: string;
}

/** Listens for links without encryption, for deployments whose settings give no key. */
export const listenPlain = async (address: Address, onLink: (link: Link, socket: Socket) => void): Promise<Server> => {
    const server = createServer(socket => {
        socket.setNoDelay(true);
        onLink(new SocketLink(socket), socket);
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.host, resolve);
    });
    return server;
};

/** Opens a link without encryption. */
export const connectPlain = (address: Address, timeoutMs: number): Promise<Result<Link, ConnectFailure>> =>
    new Promise(resolve => {
        const socket = connectTcp(address.port, address.host);
        const onError = (err: NodeJS.ErrnoException) => {
            socket.destroy();
            resolve(Result.err({ isRefused: err.code === "ECONNREFUSED", detail: err.message }));
        };
        socket.setTimeout(timeoutMs, () => {
            socket.destroy();
            resolve(Result.err({ isRefused: false, detail: `No connection within ${timeoutMs} ms.` }));
        });
        socket.once("error", onError);
        socket.once("connect", () => {
            socket.setTimeout(0);
            socket.off("error", onError);
            socket.setNoDelay(true);
            resolve(Result.ok(new SocketLink(socket)));
        });
    });
