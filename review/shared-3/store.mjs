// The platform's metadata store, in memory, with the calls that the programs make.
import { listen, sendJson } from "./wire.mjs";

const MAX_ROWS = 500;

const rowId = ({ table, part = "", key }) => JSON.stringify([table, part, key]);

/** Starts the store. `rows` are initial rows of the form [table, key, value]. */
export const startStore = async rows => {
    const stored = new Map();
    const waiting = new Set();
    let version = 0;
    const base = () => ({ row_version: version, now_ms: Math.round(performance.now()) });
    const put = ({ table, part = "", key, value }) => {
        stored.set(rowId({ table, part, key }), { table, part, key, value, row_version: version });
    };
    const drop = ({ table, part = "", key }) => {
        stored.set(rowId({ table, part, key }), { table, part, key, value: "", row_version: version, deleted: true });
    };
    const find = row => {
        const found = stored.get(rowId(row));
        return found?.deleted === true ? undefined : found;
    };
    const commit = (body, res) => {
        const expected = body.expected_revision ?? [];
        if (!expected.every(row => (find(row)?.row_version ?? 0) === row.row_version)) {
            sendJson(res, { ...base(), rows: expected.flatMap(row => find(row) ?? []) }, 412);
            return;
        }
        version += 1;
        (body.writes ?? []).forEach(put);
        (body.remove ?? []).forEach(drop);
        sendJson(res, base());
        waiting.forEach(respond => {
            respond(false);
        });
    };
    const follow = (query, res) => {
        const changedRows = () =>
            [...stored.values()]
                .filter(row => row.table === query.get("table") && row.row_version > Number(query.get("after")))
                .sort((left, right) => left.row_version - right.row_version);
        const respond = isLate => {
            const changed = changedRows();
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
        const found = [...stored.values()]
            .filter(row => row.deleted !== true && row.table === query.get("table"))
            .filter(row => row.part === (query.get("part") ?? ""))
            .filter(({ key }) => key >= (query.get("from") ?? "") && (target === null || key < target))
            .sort((left, right) => left.key < right.key ? -1 : 1);
        const limit = Math.min(Number(query.get("limit") ?? MAX_ROWS), MAX_ROWS);
        sendJson(res, { ...base(), rows: found.slice(0, limit), has_more: found.length > limit });
    };
    version += 1;
    rows.forEach(([table, key, value]) => {
        put({ table, key, value: Buffer.from(value).toString("base64") });
    });
    return listen((req, body, res) => {
        const { pathname, searchParams } = new URL(req.url, "http://store");
        if (pathname === "/-/rows-tx") {
            commit(body, res);
        }
        else if (pathname === "/-/rows-feed") {
            follow(searchParams, res);
        }
        else if (pathname === "/-/rows-get") {
            scan(searchParams, res);
        }
        else {
            sendJson(res, {}, 404);
        }
    });
};
