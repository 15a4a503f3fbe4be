import t from "tap";
import { formatSnapshot } from "../src/formatSnapshot.js";

t.formatSnapshot = formatSnapshot;

const nested = (depth: number): object => depth === 0 ? { end: true } : { inner: nested(depth - 1) };

const CASES: Readonly<Record<string, unknown>> = {
    "text as it is": "first line\nsecond line",
    nothing: undefined,
    "keys in order": { b: 1, a: { d: [1, 2], c: "text" } },
    "class instances by name": new Map([["key", new Set([1])]]),
    "lines that are too long": Array.from({ length: 4 }, (unused, index) => ({ index, text: "x".repeat(40) })),
};

// Guards against a change of the format, which would change the snapshots of all packages at once.
void t.test("format", t => {
    Object.entries(CASES).forEach(([name, value]) => {
        t.matchSnapshot(value, name);
    });
    t.end();
});

// Guards against a part that is cut off, where a change would then go unnoticed.
void t.test("nothing is cut off", t => {
    t.match(formatSnapshot(nested(12)), "end: true", "depth");
    t.match(formatSnapshot(Array.from({ length: 200 }, (unused, index) => index)), "199", "length of arrays");
    t.match(formatSnapshot({ text: `${"x".repeat(20_000)}end` }), "end", "length of texts");
    t.end();
});
