import { createLogger } from "@persimmonpitch/logging/logger.js";
import { formatSnapshot } from "@persimmonpitch/snapshots/formatSnapshot.js";
import t from "tap";
import { BodyBuffer } from "../src/bodyBuffer.js";
import type { CallerConnection } from "../src/callerAccounts.js";
import { CallerAccounts } from "../src/callerAccounts.js";
import type { CallerLimits } from "../src/callerLimits.js";
import { callerLimitsSchema, CHUNK_COST_BYTES } from "../src/callerLimits.js";

t.formatSnapshot = formatSnapshot;

/** Accounts with a clock that a case sets, and the names of connections that were closed. */
const openAccounts = (limits: Partial<CallerLimits>) => {
    let now = 0;
    const closed: string[] = [];
    const lines: string[] = [];
    const accounts = new CallerAccounts({
        limits: callerLimitsSchema.parse(limits),
        logger: createLogger("info", line => {
            lines.push(line.replace(/time=\S+ /, "").trim());
        }),
        now: () => now,
    });
    return {
        accounts,
        closed,
        lines,
        setNow: (time: number) => {
            now = time;
        },
        connect: (name: string, address = "10.0.0.1"): CallerConnection =>
            accounts.connect(address, () => closed.push(name)),
    };
};
type World = ReturnType<typeof openAccounts>;

const begin = (connection: CallerConnection, times: number) =>
    Array.from({ length: times }, () => connection.beginRequest().kind);

interface Case {
    readonly limits: Partial<CallerLimits>;
    readonly run: (world: World) => unknown;
}

const CASES: Readonly<Record<string, Case>> = {
    "01 the connection that was silent longest makes room for a new one": {
        limits: { maxConnections: 2 },
        run: ({ connect, setNow }) => {
            connect("first");
            setNow(10);
            connect("second");
            connect("third", "10.0.0.2");
        },
    },
    "02 a request in progress keeps its connection": {
        limits: { maxConnectionsPerAddress: 2 },
        run: ({ connect, setNow }) => {
            connect("processing").isProcessing = true;
            setNow(10);
            connect("silent");
            setNow(20);
            connect("new");
        },
    },
    "03 the address with most connections makes room": {
        limits: { maxConnections: 3 },
        run: ({ connect, setNow }) => {
            connect("alone", "10.0.0.2");
            setNow(10);
            connect("first");
            connect("second");
            connect("third");
        },
    },
    "04 too many unanswered requests on one connection": {
        limits: { maxUnansweredPerConnection: 2 },
        run: ({ connect }) => begin(connect("ahead"), 4),
    },
    "05 the connection with most unanswered requests makes room": {
        limits: { maxUnanswered: 4 },
        run: ({ connect }) => {
            begin(connect("ahead"), 3);
            begin(connect("other"), 1);
            return begin(connect("ordinary"), 1);
        },
    },
    "06 a request is refused if each connection has one": {
        limits: { maxUnanswered: 2 },
        run: ({ connect }) => ["a", "b", "c"].map(name => begin(connect(name), 1)),
    },
    "07 small chunks are shed before large bodies": {
        limits: { maxHeldBytes: 1_000 },
        run: ({ connect }) => {
            const small = connect("small chunks");
            small.hold(400, 4);
            connect("large body").hold(500, 500);
            connect("ordinary", "10.0.0.2").hold(200, 200);
        },
    },
    "08 a silent holder is shed before one that sends": {
        limits: { maxHeldBytesPerAddress: 1_000 },
        run: ({ connect, setNow }) => {
            const slow = connect("slow");
            slow.hold(400, 400);
            connect("silent").hold(400, 400);
            setNow(5_000);
            slow.hold(50, 50);
            connect("new").hold(300, 300);
            connect("other address", "10.0.0.2").hold(900, 900);
        },
    },
    "09 too much on one connection": {
        limits: { maxHeldBytesPerConnection: 1_000 },
        run: ({ connect }) => {
            connect("holder").hold(1_001, 10);
        },
    },
    "10 what has ended or closed is no longer counted": {
        limits: {},
        run: ({ connect }) => {
            const connection = connect("ended");
            const admission = connection.beginRequest();
            connection.hold(500, 500);
            if (admission.kind === "admitted") {
                admission.turn.end();
                admission.turn.end();
            }
            const other = connect("closed");
            begin(other, 3);
            other.hold(500, 500);
            other.close();
            other.hold(500, 500);
            return begin(other, 1);
        },
    },
    "11 changed limits apply to what follows": {
        limits: {},
        run: ({ accounts, connect }) => {
            accounts.setLimits(callerLimitsSchema.parse({ maxUnansweredPerConnection: 1 }));
            return begin(connect("ahead"), 2);
        },
    },
};

// Guards against limits that are not enforced, and against closing a connection that has cost less than others.
void t.test("limits on what callers occupy", t => {
    for (const [name, { limits, run }] of Object.entries(CASES)) {
        const world = openAccounts(limits);
        const result = run(world);
        const { accounts: { totals, shedCounts }, closed, lines } = world;
        t.matchSnapshot({ result, closed, totals, shedCounts: Object.fromEntries(shedCounts), lines }, name);
    }
    t.end();
});

// Guards against two requests of one connection at a time, and against requests that wait on a closed connection.
void t.test("the requests of a connection have their turn one after the other", async t => {
    const connection = openAccounts({}).connect("a");
    const order: string[] = [];
    const turns = ["first", "second", "third"].map(name => {
        const admission = connection.beginRequest();
        if (admission.kind !== "admitted") {
            throw new Error("The request was not admitted.");
        }
        return {
            end: admission.turn.end,
            seen: admission.turn.ready.then(() => {
                order.push(`${name}, ${connection.isOpen ? "open" : "closed"}`);
            }),
        };
    });
    await turns[0]?.seen;
    turns[0]?.end();
    await turns[1]?.seen;
    connection.close();
    await turns[2]?.seen;
    t.same(order, ["first, open", "second, open", "third, closed"]);
});

// Guards against a body that costs more memory than is counted, and against one over the limit.
void t.test("a body is collected in one buffer", t => {
    let cost = 0;
    const account = {
        isOpen: true,
        hold: (bytes: number) => {
            cost += bytes;
        },
    };
    const body = new BodyBuffer(5_000, account);
    for (const byte of Buffer.from("é".repeat(2_500))) {
        body.add(Buffer.of(byte));
    }
    t.equal(body.text(), "é".repeat(2_500));
    const counted = 5_000 + 5_000 * CHUNK_COST_BYTES;
    t.ok(cost <= counted && cost > counted - 1_024, "the capacity is bounded by the limit, and each chunk counts");
    t.equal(body.add(Buffer.of(0)), false);
    t.equal(new BodyBuffer(10, account).add(Buffer.alloc(11)), false);
    t.equal(new BodyBuffer(10, account).text(), "");
    t.end();
});
