// A server and a client for JSON over HTTP/1.1 on loopback.
import * as http from "node:http";

const parse = text => {
    try {
        return text === "" ? {} : JSON.parse(text);
    }
    catch {
        return undefined;
    }
};

const readBody = async stream => {
    const chunks = [];
    for await (const chunk of stream) {
        chunks.push(chunk);
    }
    return parse(Buffer.concat(chunks).toString("utf8"));
};

export const sendJson = (res, status, body) => {
    if (!res.destroyed) {
        res.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
    }
};

/** Listens on a port of 127.0.0.1 (0 for a free one); the handler gets the request, its body and the response. */
export const serve = async (handler, port = 0) => {
    const server = http.createServer((req, res) => {
        readBody(req).then(body => handler(req, body, res)).catch(() => {
            res.destroy();
        });
    });
    await new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, "127.0.0.1", resolve);
    });
    return {
        port: server.address().port,
        address: `127.0.0.1:${server.address().port}`,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
};

/** Ports below those that systems give to outgoing connections. */
const FIRST_PORT = 10_000;
const LAST_PORT = 30_000;
const givenPorts = new Set();

const freePort = async () => {
    for (;;) {
        const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
        if (!givenPorts.has(port)) {
            givenPorts.add(port);
            const server = await serve(() => undefined, port).catch(() => undefined);
            if (server !== undefined) {
                server.close();
                return port;
            }
        }
    }
};

/** Ports that were free a moment ago, each given once. */
export const freePorts = count => Promise.all(Array.from({ length: count }, freePort));

/** Sends one call on a connection of its own. The status is 0 if there was no complete answer in time. */
export const call = (address, method, path, { headers = {}, body, timeoutMs = 3_000 } = {}) =>
    new Promise(resolve => {
        const fail = () => {
            resolve({ status: 0, body: undefined });
        };
        const text = body === undefined ? undefined : JSON.stringify(body);
        const length = text === undefined ? {} : { "content-length": Buffer.byteLength(text) };
        const req = http.request(`http://${address}${path}`, {
            method,
            agent: false,
            headers: { "content-type": "application/json", ...length, ...headers },
            signal: AbortSignal.timeout(timeoutMs),
        }, res => {
            readBody(res).then(answer => {
                resolve({ status: res.statusCode, body: answer });
            }, fail);
        });
        req.once("error", fail);
        req.end(text);
    });
