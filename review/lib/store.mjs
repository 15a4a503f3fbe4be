// The platform's metadata store, as PROTOCOL.md describes it: tables of rows, transactions, feeds.
import { sendJson, serve } from "./http.mjs";

const MAX_ROW_BYTES = 65_536;
const MAX_ENTRIES = 100;
const MAX_CALL_BYTES = 1_000_000;
const MAX_PAGE_ROWS = 500;
const TRANSACTION_MS = 4;

/**
 * Starts the store. `rows` are initial rows [table, key, text]. `onTransaction` may return `{ loseMs }`: the answer is
 * lost and the transaction is done that much later, if its condition still holds then.
 */
export const startStore = async ({ rows, record, onTransaction = () => undefined }) => {
    const stored = new Map();
    const followers = new Set();
    let version = 0;
    const rowId = ({ table, part = "", key }) => JSON.stringify([table, part, key]);
    const base = () => ({ row_version: version, now_ms: Math.round(performance.now()) });
    const put = ({ table, part = "", key, value }) => {
        stored.set(rowId({ table, part, key }), { table, part, key, value, row_version: version });
    };
    const drop = ({ table, part = "", key }) => {
        stored.set(rowId({ table, part, key }), { table, part, key, deleted: true, row_version: version });
    };
    const live = id => stored.get(id)?.deleted === true ? undefined : stored.get(id);

    const apply = body => {
        const { expected_revision: expected = [], writes = [], remove = [] } = body;
        if (!expected.every(row => (live(rowId(row))?.row_version ?? 0) === row.row_version)) {
            return { status: 412, body: { ...base(), rows: expected.flatMap(row => live(rowId(row)) ?? []) } };
        }
        version += 1;
        writes.forEach(put);
        remove.forEach(drop);
        followers.forEach(follower => {
            follower();
        });
        return { status: 200, body: base() };
    };

    const isTooLarge = body => {
        const { expected_revision: expected = [], writes = [], remove = [] } = body;
        const sizes = writes.map(({ value }) => Buffer.from(value, "base64").length);
        return sizes.some(size => size > MAX_ROW_BYTES)
            || sizes.reduce((sum, size) => sum + size, 0) > MAX_CALL_BYTES
            || expected.length + writes.length + remove.length > MAX_ENTRIES;
    };

    const transact = (body, res) => {
        if (isTooLarge(body)) {
            const largest = Math.max(...(body.writes ?? []).map(({ value }) => Buffer.from(value, "base64").length));
            record.write("store refuses a transaction", {
                keys: (body.writes ?? []).map(({ key }) => key),
                largestRowBytes: largest,
            });
            sendJson(res, { error: "too large" }, 400);
            return;
        }
        const fault = onTransaction(body);
        if (fault !== undefined) {
            const keys = (body.writes ?? []).map(({ key }) => key);
            record.write("store loses an answer", { keys, doneAfterMs: fault.loseMs });
            setTimeout(() => {
                const { status } = apply(body);
                record.write("store does a write whose answer was lost", { keys, status });
            }, fault.loseMs);
            return;
        }
        setTimeout(() => {
            const answer = apply(body);
            sendJson(res, answer.body, answer.status);
        }, TRANSACTION_MS);
    };

    const get = (query, res) => {
        const from = query.get("from") ?? "";
        const target = query.get("target");
        const limit = Math.min(Number(query.get("limit") ?? MAX_PAGE_ROWS), MAX_PAGE_ROWS);
        const found = [...stored.values()]
            .filter(row => row.table === query.get("table") && row.part === (query.get("part") ?? "") && !row.deleted)
            .filter(({ key }) => key >= from && (target === null || key < target))
            .sort((a, b) => a.key < b.key ? -1 : 1);
        sendJson(res, { ...base(), rows: found.slice(0, limit), has_more: found.length > limit });
    };

    const feed = (query, res) => {
        const after = Number(query.get("after"));
        const answer = isDue => {
            const changed = [...stored.values()]
                .filter(row => row.table === query.get("table") && row.row_version > after)
                .sort((a, b) => a.row_version - b.row_version);
            if (changed.length > 0 || isDue) {
                followers.delete(wake);
                clearTimeout(timer);
                sendJson(res, { ...base(), rows: changed });
            }
        };
        const wake = () => {
            answer(false);
        };
        const timer = setTimeout(answer, Number(query.get("wait_ms") ?? 0), true);
        res.once("close", () => {
            followers.delete(wake);
            clearTimeout(timer);
        });
        followers.add(wake);
        wake();
    };

    version += 1;
    rows.forEach(([table, key, text]) => {
        put({ table, key, value: Buffer.from(text).toString("base64") });
    });
    const server = await serve((req, body, res) => {
        const { pathname, searchParams } = new URL(req.url, "http://store");
        const handlers = {
            "/-/rows-tx": () => {
                transact(body, res);
            },
            "/-/rows-get": () => {
                get(searchParams, res);
            },
            "/-/rows-feed": () => {
                feed(searchParams, res);
            },
        };
        (handlers[pathname] ?? (() => {
            sendJson(res, {}, 404);
        }))();
    });
    return {
        ...server,
        /** Text of a row, for the record. */
        textOf: (table, key) => {
            const row = live(rowId({ table, key }));
            return row === undefined ? undefined : Buffer.from(row.value, "base64").toString("utf8");
        },
    };
};
