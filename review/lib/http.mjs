// HTTP on loopback: servers on free ports and calls with a limit on their time.
import * as http from "node:http";

const readBody = async req => {
    const chunks = [];
    for await (const chunk of req) {
        chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    return text === "" ? {} : JSON.parse(text);
};

/** Answers with a JSON body, unless the caller is gone. */
export const sendJson = (res, body, status = 200) => {
    if (!res.writableEnded && !res.destroyed) {
        res.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
    }
};

/** Serves on a loopback port, a free one by default; the handler gets the request, its body and the response. */
export const serve = async (handler, port = 0) => {
    const server = http.createServer((req, res) => {
        readBody(req).then(body => {
            handler(req, body, res);
        }).catch(() => {
            sendJson(res, { error: "malformed" }, 400);
        });
    });
    server.keepAliveTimeout = 60_000;
    await new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, "127.0.0.1", resolve);
    });
    return {
        port: server.address().port,
        address: `127.0.0.1:${server.address().port}`,
        close: () => {
            server.closeAllConnections();
            server.close();
        },
    };
};

const FIRST_PORT = 10_000;
const PORTS = 20_000;

const isFree = async port => {
    try {
        (await serve(() => undefined, port)).close();
        return true;
    }
    catch {
        return false;
    }
};

/**
 * Free loopback ports, below those that the system gives to outgoing connections and chosen at random, so that two
 * scripts that start at the same time do not choose the same ones.
 */
export const freePorts = async count => {
    const ports = new Set();
    while (ports.size < count) {
        const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
        if (!ports.has(port) && await isFree(port)) {
            ports.add(port);
        }
    }
    return [...ports];
};

/** Calls on a connection of its own. The status is 0 without a complete answer. */
export const call = (address, method, path, { headers = {}, body, timeoutMs = 3_000 } = {}) =>
    new Promise(resolve => {
        const text = body === undefined ? undefined : JSON.stringify(body);
        const req = http.request(`http://${address}${path}`, {
            method,
            agent: false,
            headers: {
                ...(text === undefined
                    ? {}
                    : { "content-type": "application/json", "content-length": Buffer.byteLength(text) }),
                ...headers,
            },
        }, res => {
            const chunks = [];
            res.on("data", chunk => chunks.push(chunk));
            res.once("end", () => {
                clearTimeout(timer);
                resolve({ status: res.statusCode, text: Buffer.concat(chunks).toString("utf8") });
            });
            res.once("error", () => {
                resolve({ status: 0, text: "" });
            });
        });
        const timer = setTimeout(() => {
            req.destroy(new Error("No answer in time."));
        }, timeoutMs);
        req.once("error", err => {
            clearTimeout(timer);
            resolve({ status: 0, text: err.message });
        });
        req.end(text);
    });
