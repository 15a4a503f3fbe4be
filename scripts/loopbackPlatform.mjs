// A metadata store and one executor on loopback, enough to run the bundled programs through one job.
import { createServer } from "node:http";

const readBody = async req => {
    let text = "";
    for await (const chunk of req) {
        text += chunk;
    }
    return text === "" ? {} : JSON.parse(text);
};

const sendJson = (res, body, status = 200) => {
    res.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
};

/** Listens on a free port of the loopback interface; the handler gets the request and its parsed body. */
const serve = async handler => {
    const server = createServer((req, res) => {
        void readBody(req).then(body => {
            handler(req, body, res);
        });
    });
    await new Promise(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    return {
        address: `127.0.0.1:${server.address().port}`,
        close: () => server.closeAllConnections() ?? server.close(),
    };
};

/** Free ports of the loopback interface, which the programs then listen on. */
export const freePorts = async count => {
    const servers = await Promise.all(Array.from({ length: count }, () => serve(() => undefined)));
    servers.forEach(({ close }) => {
        close();
    });
    return servers.map(({ address }) => Number(address.split(":")[1]));
};

/** Starts the store. `rows` are initial rows of the form [table, key, value]. */
export const startStore = async rows => {
    const stored = new Map();
    const waiting = new Set();
    let version = 0;
    const rowId = ({ table, key }) => `${table} ${key}`;
    const put = ({ table, key, value }) => {
        stored.set(rowId({ table, key }), { table, part: "", key, value, row_version: version });
    };
    const base = () => ({ row_version: version, now_ms: Math.round(performance.now()) });
    const rowsOf = (table, after) =>
        [...stored.values()]
            .filter(row => row.table === table && row.row_version > after)
            .sort((a, b) => a.row_version - b.row_version);
    const commit = (body, res) => {
        const isCurrent = row => (stored.get(rowId(row))?.row_version ?? 0) === row.row_version;
        if (!body.expected_revision.every(isCurrent)) {
            sendJson(
                res,
                { ...base(), rows: body.expected_revision.flatMap(row => stored.get(rowId(row)) ?? []) },
                412,
            );
            return;
        }
        version++;
        body.writes.forEach(put);
        body.remove.forEach(row => stored.delete(rowId(row)));
        sendJson(res, base());
        waiting.forEach(respond => {
            respond(false);
        });
    };
    const follow = (query, res) => {
        const respond = isLate => {
            const changed = rowsOf(query.get("table"), Number(query.get("after")));
            if (changed.length > 0 || isLate) {
                waiting.delete(respond);
                clearTimeout(deadline);
                sendJson(res, { ...base(), rows: changed });
            }
        };
        const deadline = setTimeout(respond, Number(query.get("wait_ms")), true);
        waiting.add(respond);
        respond(false);
    };
    const scan = (query, res) => {
        const target = query.get("target");
        const rows = rowsOf(query.get("table"), 0)
            .filter(({ key }) => key >= (query.get("from") ?? "") && (target === null || key < target))
            .sort((a, b) => a.key < b.key ? -1 : 1);
        const limit = Number(query.get("limit"));
        sendJson(res, { ...base(), rows: rows.slice(0, limit), has_more: rows.length > limit });
    };
    version++;
    rows.forEach(([table, key, value]) => put({ table, key, value: Buffer.from(value).toString("base64") }));
    return serve((req, body, res) => {
        const { pathname, searchParams } = new URL(req.url, "http://store");
        if (pathname === "/-/rows-tx") {
            commit(body, res);
        }
        else if (pathname === "/-/rows-feed") {
            follow(searchParams, res);
        }
        else {
            scan(searchParams, res);
        }
    });
};

const RUN_MS = 50;

/** Starts an executor that runs each task for a moment. */
export const startExecutor = async () => {
    const born = Date.now();
    const running = new Map();
    const finished = [];
    const clock = () => Math.round(performance.now());
    return {
        born,
        clock,
        ...await serve((req, body, res) => {
            if (req.url === "/-/run-start") {
                running.set(body.task_id, [body.task_id, body.run_id, "", 0]);
                setTimeout(() => {
                    running.delete(body.task_id);
                    finished.push([finished.length + 1, body.task_id, body.run_id, "done", ""]);
                }, RUN_MS);
                sendJson(res, { clock_ms: clock() });
                return;
            }
            const ends = finished.filter(([number]) => number > (body.last_seen ?? 0));
            sendJson(res, { clock_ms: clock(), born, running: [...running.values()], finished: ends });
        }),
    };
};
