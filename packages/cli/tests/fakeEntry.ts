import { createServer } from "node:http";
import type { IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";

/** What the fake entry answers; `breakOff` ends the connection after that many bytes of the body. */
export interface FakeAnswer {
    readonly status?: number;
    readonly body: unknown;
    readonly etag?: string;
    readonly breakOff?: number;
}

/** Answers of `METHOD /path`; several answers are given in turn, the last one from then on. */
export type FakeRoutes = Readonly<Record<string, readonly FakeAnswer[]>>;

export interface FakeEntry {
    readonly url: string;
    readonly requests: string[];
    readonly close: () => Promise<void>;
}

const readBody = async (req: IncomingMessage): Promise<string> => {
    const chunks: Buffer[] = [];
    for await (const chunk of req) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString("utf8");
};

const textOf = (body: unknown): string => typeof body === "string" ? body : JSON.stringify(body);

/** An HTTP server on loopback that answers from a table and notes the requests. */
export const startFakeEntry = async (routes: FakeRoutes): Promise<FakeEntry> => {
    const requests: string[] = [];
    const counts = new Map<string, number>();
    const server = createServer((req, res) => {
        void readBody(req).then(body => {
            const { authorization = "(no token)", "if-match": ifMatch } = req.headers;
            const route = `${req.method ?? ""} ${req.url ?? ""}`;
            requests.push([route, authorization, ifMatch, body].filter(part => part !== undefined).join(" | "));
            const answers = routes[route] ?? [{ status: 500, body: `no route ${route}` }];
            const count = counts.get(route) ?? 0;
            counts.set(route, count + 1);
            const { status = 200, body: answer, etag, breakOff } = answers[Math.min(count, answers.length - 1)]
                ?? { body: "" };
            const text = textOf(answer);
            if (breakOff === 0) {
                res.destroy();
                return;
            }
            res.writeHead(status, { "content-length": Buffer.byteLength(text), ...etag === undefined ? {} : { etag } });
            if (breakOff === undefined) {
                res.end(text);
                return;
            }
            res.write(text.slice(0, breakOff), () => res.destroy());
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    return {
        url: `http://127.0.0.1:${port}`,
        requests,
        close: () =>
            new Promise(resolve => {
                server.close(() => {
                    resolve();
                });
                server.closeAllConnections();
            }),
    };
};
