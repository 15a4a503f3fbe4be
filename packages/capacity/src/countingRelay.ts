import type { Server, Socket } from "node:net";
import { connect, createServer } from "node:net";

/** Bytes that have passed a relay, as the sockets carry them: with TLS and HTTP framing, without TCP/IP headers. */
export interface RelayBytes {
    readonly toTarget: number;
    readonly fromTarget: number;
}

const LOOPBACK = "127.0.0.1";

/** A TCP relay on loopback that counts bytes; its target can be set after it listens. */
export class CountingRelay {
    targetPort = 0;
    connections = 0;
    private toTarget = 0;
    private fromTarget = 0;
    private readonly sockets = new Set<Socket>();

    private constructor(private readonly server: Server, readonly port: number) {}

    static async listen(targetPort = 0): Promise<CountingRelay> {
        const server = createServer();
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(0, LOOPBACK, resolve);
        });
        const bound = server.address();
        const port = typeof bound === "object" && bound !== null ? bound.port : 0;
        const relay = new CountingRelay(server, port);
        relay.targetPort = targetPort;
        server.on("connection", socket => {
            relay.forward(socket);
        });
        return relay;
    }

    get bytes(): RelayBytes {
        return { toTarget: this.toTarget, fromTarget: this.fromTarget };
    }

    close(): void {
        this.server.close();
        this.sockets.forEach(socket => {
            socket.destroy();
        });
    }

    private forward(client: Socket): void {
        this.connections += 1;
        const target = connect({ host: LOOPBACK, port: this.targetPort });
        client.on("data", chunk => {
            this.toTarget += chunk.length;
        });
        target.on("data", chunk => {
            this.fromTarget += chunk.length;
        });
        client.pipe(target);
        target.pipe(client);
        this.join(client, target);
        this.join(target, client);
    }

    /** Ends the other side when one side ends, so that a lost process looks the same through the relay. */
    private join(socket: Socket, other: Socket): void {
        this.sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("error", () => {
            other.destroy();
        });
        socket.on("close", () => {
            this.sockets.delete(socket);
            other.destroy();
        });
    }
}

/** Bytes between two readings of a relay. */
export const bytesBetween = (before: RelayBytes, after: RelayBytes): RelayBytes => ({
    toTarget: after.toTarget - before.toTarget,
    fromTarget: after.fromTarget - before.fromTarget,
});
