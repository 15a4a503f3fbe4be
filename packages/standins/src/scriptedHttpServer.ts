import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

/** Response to every request; without a status the server closes the connection instead of responding. */
export interface ScriptedResponse {
    /** Keeps the connection open and never responds. */
    readonly isSilent?: boolean;
    readonly status?: number;
    readonly body?: unknown;
}

/** Request as the server received it. */
export interface ReceivedRequest {
    readonly method: string;
    readonly url: string;
    readonly instance: string | undefined;
    readonly body: unknown;
}

/** HTTP server on the loopback interface that records each request and sends a scripted response. */
export class ScriptedHttpServer {
    readonly receivedRequests: ReceivedRequest[] = [];
    /** Connections that clients have opened. */
    connections = 0;
    /** Requests for this path never get a response. */
    silentPath: string | undefined;
    private response: ScriptedResponse = {};
    private readonly server = createServer((req, res) => {
        const chunks: Buffer[] = [];
        req.on("data", (chunk: Buffer) => chunks.push(chunk));
        req.on("end", () => {
            const text = Buffer.concat(chunks).toString("utf8");
            this.receivedRequests.push({
                method: req.method ?? "",
                url: req.url ?? "",
                instance: req.headers["x-expect-instance"] as string | undefined,
                body: text === "" ? undefined : JSON.parse(text) as unknown,
            });
            if (this.response.isSilent === true || req.url === this.silentPath) {
                return;
            }
            if (this.response.status === undefined) {
                req.socket.destroy();
                return;
            }
            res.writeHead(this.response.status, { "content-type": "application/json" });
            res.end(
                typeof this.response.body === "string" ? this.response.body : JSON.stringify(this.response.body ?? {}),
            );
        });
    });

    constructor() {
        this.server.on("connection", () => {
            this.connections += 1;
        });
    }

    /** Starts the server on a free port and returns its address. */
    async listen(): Promise<string> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    respondWith(response: ScriptedResponse): void {
        this.response = response;
    }

    async close(): Promise<void> {
        this.server.closeAllConnections();
        await new Promise(resolve => this.server.close(resolve));
    }
}
