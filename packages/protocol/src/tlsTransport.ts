import type { Server, Socket } from "node:net";
import type { ConnectionOptions as TlsConnectOptions, TLSSocket } from "node:tls";
import { connect as connectTlsSocket, createServer as createTlsServer } from "node:tls";
import { Result } from "true-myth";
import { AcceptedLinks, DEFAULT_LINK_LIMITS } from "./acceptedLinks.js";
import type { Link } from "./link.js";
import { deriveProcessKey } from "./processKey.js";
import { SocketLink } from "./socketLink.js";

/** Address on which a process listens. */
export interface Address {
    readonly host: string;
    readonly port: number;
}

/** A link whose peer has authenticated as `peerName` with the pre-shared key of that name. */
export interface AuthenticatedLink {
    readonly link: Link;
    readonly peerName: string;
    readonly socket: Socket;
}

/** Node.js supports pre-shared keys only up to TLS 1.2; ECDHE adds forward secrecy. */
const TLS_OPTIONS = {
    minVersion: "TLSv1.2",
    maxVersion: "TLSv1.2",
    ciphers: "ECDHE-PSK-CHACHA20-POLY1305",
} as const;

const CONNECT_TIMEOUT_MS = 3_000;

/** A connection counts against the limit of the server before it has authenticated. */
const HANDSHAKE_TIMEOUT_MS = 10_000;
const MAX_SERVER_CONNECTIONS = 2 * DEFAULT_LINK_LIMITS.maxLinks;

const peerNames = new WeakMap<Socket, string>();

/** Listens for TLS connections and calls `onLink` for each one that authenticates. */
export const listenTls = async (
    address: Address,
    deploymentKey: Buffer,
    onLink: (authenticated: AuthenticatedLink) => void,
): Promise<{ readonly server: Server; readonly port: number; }> => {
    const links = new AcceptedLinks();
    const server = createTlsServer({
        ...TLS_OPTIONS,
        handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
        pskCallback: (socket, identity) => {
            peerNames.set(socket, identity);
            return deriveProcessKey(deploymentKey, identity);
        },
    }, (socket: TLSSocket) => {
        const peerName = peerNames.get(socket);
        if (peerName === undefined) {
            socket.destroy();
            return;
        }
        socket.setNoDelay(true);
        onLink({ link: links.accept(socket), peerName, socket });
    });
    server.maxConnections = MAX_SERVER_CONNECTIONS;
    // A failed handshake closes only its own socket.
    server.on("tlsClientError", () => undefined);
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.host, resolve);
    });
    const boundAddress = server.address();
    return {
        server,
        port: typeof boundAddress === "object" && boundAddress !== null ? boundAddress.port : address.port,
    };
};

/** Opens a TLS link to a listening process and authenticates as `processName`. */
export const connectTls = (
    address: Address,
    processName: string,
    processKey: Buffer,
): Promise<Result<Link, string>> =>
    new Promise(resolve => {
        const options: TlsConnectOptions = {
            ...TLS_OPTIONS,
            host: address.host,
            port: address.port,
            pskCallback: () => ({ psk: processKey, identity: processName }),
            // The pre-shared key authenticates the server; there is no certificate with a host name to check.
            checkServerIdentity: () => undefined,
        };
        const socket = connectTlsSocket(options);
        const fail = (detail: string) => {
            socket.destroy();
            resolve(Result.err(detail));
        };
        const onError = (err: Error) => {
            fail(err.message);
        };
        socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
            fail("The connection attempt timed out.");
        });
        socket.once("error", onError);
        socket.once("secureConnect", () => {
            socket.setTimeout(0);
            socket.off("error", onError);
            socket.setNoDelay(true);
            resolve(Result.ok(new SocketLink(socket)));
        });
    });
