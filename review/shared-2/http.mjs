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

/** Ports below those that systems give to outgoing connections, in blocks, one for each script that runs. */
const FIRST_PORT = 10_000;
const BLOCK_COUNT = 200;
const BLOCK_SIZE = 100;

const tryServe = port => serve(() => undefined, port).catch(() => undefined);

/** Takes a block by listening on its first port until the script ends. */
const takeBlock = async () => {
    for (;;) {
        const first = FIRST_PORT + BLOCK_SIZE * Math.floor(Math.random() * BLOCK_COUNT);
        if (await tryServe(first) !== undefined) {
            return first;
        }
    }
};

let block;
let givenCount = 0;

const freePort = async () => {
    block ??= takeBlock();
    const first = await block;
    while (givenCount < BLOCK_SIZE - 1) {
        givenCount += 1;
        const port = first + givenCount;
        const server = await tryServe(port);
        if (server !== undefined) {
            server.close();
            return port;
        }
    }
    throw new Error("The block has no free port left.");
};

/** Ports that were free a moment ago, each given once, and to no other script. */
export const freePorts = async count => {
    const ports = [];
    while (ports.length < count) {
        ports.push(await freePort());
    }
    return ports;
};

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
