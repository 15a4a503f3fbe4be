// A stand-in of the platform's store of rows, as far as the programs use it: transactions, ranges and the feed.
import { sendJson, serve } from "./http.mjs";

const READ_ONLY_TABLES = new Set(["op", "servers"]);
const MAX_PAGE_ROWS = 500;
/** How long an answer takes. */
const ANSWER_MS = 4;

/** Starts the store. `write` is what the operator and the platform use, who may write to every table. */
export const startStore = async () => {
    /** The newest change of each row that was ever written; a removed row has no value. */
    const changes = new Map();
    const waiting = new Set();
    let version = 0;
    const idOf = ({ table, part = "", key }) => JSON.stringify([table, part, key]);
    const base = () => ({ row_version: version, now_ms: Math.round(performance.now()) });
    const current = row => {
        const change = changes.get(idOf(row));
        return change?.deleted === true ? undefined : change;
    };
    const apply = ({ writes = [], remove = [] }) => {
        version += 1;
        writes.forEach(({ table, part = "", key, value }) => {
            changes.set(idOf({ table, part, key }), { table, part, key, value, row_version: version });
        });
        remove.filter(current).forEach(({ table, part = "", key }) => {
            changes.set(idOf({ table, part, key }), { table, part, key, row_version: version, deleted: true });
        });
        waiting.forEach(answer => {
            answer(false);
        });
    };
    const commit = (body, res) => {
        const { expected_revision: expected = [], writes = [], remove = [] } = body;
        if ([...writes, ...remove].some(({ table }) => READ_ONLY_TABLES.has(table))) {
            sendJson(res, 403, base());
            return;
        }
        if (expected.some(row => (current(row)?.row_version ?? 0) !== (row.row_version ?? 0))) {
            sendJson(res, 412, { ...base(), rows: expected.flatMap(row => current(row) ?? []) });
            return;
        }
        apply(body);
        sendJson(res, 200, base());
    };
    const read = (query, res) => {
        const [from, target] = [query.get("from") ?? "", query.get("target")];
        const rows = [...changes.values()]
            .filter(row => row.deleted !== true && row.table === query.get("table"))
            .filter(row => row.part === (query.get("part") ?? ""))
            .filter(({ key }) => key >= from && (target === null || key < target))
            .sort((left, right) => left.key < right.key ? -1 : 1);
        const limit = Math.min(Number(query.get("limit") ?? MAX_PAGE_ROWS), MAX_PAGE_ROWS);
        sendJson(res, 200, { ...base(), rows: rows.slice(0, limit), has_more: rows.length > limit });
    };
    const feed = (query, res) => {
        const answer = isLate => {
            const after = Number(query.get("after"));
            const rows = [...changes.values()]
                .filter(row => row.table === query.get("table") && row.row_version > after)
                .sort((left, right) => left.row_version - right.row_version);
            if (rows.length > 0 || isLate) {
                waiting.delete(answer);
                clearTimeout(deadline);
                sendJson(res, 200, { ...base(), rows });
            }
        };
        const deadline = setTimeout(answer, Math.min(30_000, Number(query.get("wait_ms") ?? 0)), true);
        res.once("close", () => {
            waiting.delete(answer);
            clearTimeout(deadline);
        });
        waiting.add(answer);
        answer(false);
    };
    const server = await serve(async (req, body, res) => {
        await new Promise(resolve => {
            setTimeout(resolve, ANSWER_MS);
        });
        const { pathname, searchParams } = new URL(req.url, "http://store");
        if (req.method === "POST" && pathname === "/-/rows-tx") {
            commit(body, res);
        }
        else if (pathname === "/-/rows-get") {
            read(searchParams, res);
        }
        else if (pathname === "/-/rows-feed") {
            feed(searchParams, res);
        }
        else {
            sendJson(res, 404, {});
        }
    });
    return {
        address: server.address,
        close: server.close,
        write: (table, key, value) => {
            apply({ writes: [{ table, key, value: Buffer.from(JSON.stringify(value)).toString("base64") }] });
        },
    };
};
