import type { Server, Socket } from "node:net";
import { connect as connectTcp, createServer } from "node:net";
import { Result } from "true-myth";
import type { AcceptedLinkLimits } from "./acceptedLinks.js";
import { AcceptedLinks } from "./acceptedLinks.js";
import type { Link } from "./link.js";
import { SocketLink } from "./socketLink.js";
import type { Address } from "./tlsTransport.js";

/** Why a connection could not be opened. */
export interface ConnectFailure {
    /** No process listens on the address, so the process expected there is down. */
    readonly isRefused: boolean;
    readonly detail: string;
}

/** Listens for TCP connections without TLS, for deployments whose settings contain no key. */
export const listenPlain = async (
    address: Address,
    onLink: (link: Link, socket: Socket) => void,
    limits?: AcceptedLinkLimits,
): Promise<Server> => {
    const links = new AcceptedLinks(limits);
    const server = createServer(socket => {
        socket.setNoDelay(true);
        onLink(links.accept(socket), socket);
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.host, resolve);
    });
    return server;
};

/** Starts to connect. Node.js throws on an invalid address, such as a port out of range; it is returned as an error. */
const openSocket = ({ host, port }: Address): Result<Socket, ConnectFailure> => {
    try {
        return Result.ok(connectTcp(port, host));
    }
    catch (err) {
        return Result.err({ isRefused: false, detail: err instanceof Error ? err.message : String(err) });
    }
};

/** Opens a TCP link without TLS. */
export const connectPlain = (address: Address, timeoutMs: number): Promise<Result<Link, ConnectFailure>> =>
    new Promise(resolve => {
        const opened = openSocket(address);
        if (opened.isErr) {
            resolve(Result.err(opened.error));
            return;
        }
        const socket = opened.value;
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
