// HTTP with JSON bodies on loopback, for the stand-ins and the requesters.
import * as http from "node:http";

const readBody = async req => {
    let text = "";
    for await (const chunk of req) {
        text += chunk;
    }
    return text === "" ? {} : JSON.parse(text);
};

export const sendJson = (res, body, status = 200) => {
    res.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
};

/** Listens on a port of the loopback interface, a free one by default. The handler gets the parsed body. */
export const listen = async (handler, port = 0) => {
    const server = http.createServer((req, res) => {
        void readBody(req).then(body => {
            handler(req, body, res);
        }, () => {
            res.destroy();
        });
    });
    await new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, "127.0.0.1", resolve);
    });
    return {
        address: `127.0.0.1:${server.address().port}`,
        close: () => {
            server.closeAllConnections();
            server.close();
        },
    };
};

/** Each process looks for ports in a block of its own, below those that the system hands out for connections. */
const FIRST_PORT = 12_000;
const BLOCK = 40;
const BLOCKS = 500;

const isFree = async port => {
    try {
        const { close } = await listen(() => undefined, port);
        close();
        return true;
    }
    catch {
        return false;
    }
};

/** Free ports of the loopback interface, which the programs then listen on. */
export const freePorts = async count => {
    const first = FIRST_PORT + process.pid % BLOCKS * BLOCK;
    const ports = [];
    for (let port = first; ports.length < count && port < first + BLOCK; port += 1) {
        if (await isFree(port)) {
            ports.push(port);
        }
    }
    return ports;
};

/** Sends a request and resolves to its status and text; the status is 0 without an answer. */
export const request = (address, path, { method = "GET", headers = {}, body, timeoutMs = 3_000 } = {}) =>
    new Promise(resolve => {
        const req = http.request(`http://${address}${path}`, { method, headers, agent: false }, res => {
            let text = "";
            res.on("data", chunk => {
                text += chunk;
            });
            res.once("end", () => {
                resolve({ status: res.statusCode, text });
            });
            res.once("error", () => {
                resolve({ status: 0, text: "" });
            });
        });
        req.setTimeout(timeoutMs, () => req.destroy());
        req.once("error", () => {
            resolve({ status: 0, text: "" });
        });
        req.end(body === undefined ? undefined : JSON.stringify(body));
    });

export const sleep = ms =>
    new Promise(resolve => {
        setTimeout(resolve, ms);
    });

/** Waits until the condition holds; a case that never comes so far could not run. */
export const waitUntil = async (condition, what, timeoutMs = 20_000) => {
    const until = performance.now() + timeoutMs;
    while (!condition()) {
        if (performance.now() > until) {
            throw new Error(`${what} did not happen in time.`);
        }
        await sleep(50);
    }
};
