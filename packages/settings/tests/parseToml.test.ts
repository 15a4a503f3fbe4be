import { formatFindings } from "@persimmonpitch/findings/finding.js";
import fc from "fast-check";
import t from "tap";
import { isOk } from "true-myth/result";
import * as z from "zod";
import { parseToml } from "../src/parseToml.js";
import { readSettings } from "../src/readSettings.js";

const SEED = 20_261_204;
const RUNS = 10_000;

const schema = z.strictObject({
    name: z.string().min(1),
    port: z.number().int().min(0).max(65_535).default(0),
    peer: z.array(z.strictObject({ host: z.string(), tags: z.array(z.string()).default([]) })).default([]),
    limits: z.strictObject({ queue: z.number().positive() }).optional(),
});

const texts: Readonly<Record<string, string>> = {
    valid: "name = \"a\"\nport = 80\n[[peer]]\nhost = \"b\"\n",
    "several findings at once":
        "port = 70000\ncolour = \"red\"\nlimit.x = 1\n[[peer]]\nhost = 1\n\n[[peer]]\nhots = \"c\"\n",
    "element of a list over several lines":
        "name = \"a\"\n[[peer]]\nhost = \"b\"\ntags = [ # first\n  \"x]\",\n  \"\"\"y\n\"\"\",\n  3,\n]\n",
    "inline tables":
        "name = \"a\"\npeer = [\n  { host = \"b\" },\n  { host = 2, tags = [] },\n]\nlimits = { queue = -1 }\n",
    "quoted and dotted keys": "name = \"a\"\n\n\"limits\".'queue' = \"much\"\n\"odd key\\u0021\" = 1\n",
    "key that is named twice": "name = \"a\"\nname = \"b\"\n",
    "text that breaks off": "name = \"a\"\nport = [1, 2\n",
    "prototype key": "name = \"a\"\n__proto__ = { x = 1 }\n",
    "not a number": "name = \"a\"\nport = nan\n",
    empty: "",
};

// Guards against findings that are lost behind the first one, or that name the wrong line.
void t.test("findings name file, line and key path", t => {
    for (const [name, text] of Object.entries(texts)) {
        const result = parseToml(text, "settings.toml", schema);
        t.matchSnapshot(isOk(result) ? result.value : formatFindings(result.error), name);
    }
    t.end();
});

// Guards against an exception in place of a finding when the file is missing.
void t.test("a file that is missing is a finding", t => {
    const result = readSettings("no-such-directory/settings.toml", schema);
    t.ok(!isOk(result) && result.error[0]?.messageId === "unreadable");
    t.end();
});

const fragment = fc.constantFrom(
    "name",
    "port",
    "peer",
    "limits",
    "__proto__",
    ".",
    "=",
    " = ",
    "\n",
    "[",
    "]",
    "[[",
    "]]",
    "{",
    "}",
    ",",
    "\"",
    "'",
    "\"\"\"",
    "'''",
    "\\",
    "#",
    "1",
    "-1",
    "1e400",
    "nan",
    "true",
    "\"a\"",
    "1979-05-27",
    "\r\n",
    "\u0000",
    "\u{1F600}",
    "name = \"a\"\n",
    "[[peer]]\n",
    "host = \"b\"\n",
    "[limits]\n",
    "queue = 1\n",
);
const malformed = fc.oneof(
    fc.array(fragment, { maxLength: 25 }).map(parts => parts.join("")),
    fc.string({ unit: "binary", maxLength: 80 }),
);

// Guards against crashes, endless scans and accepted nonsense: what is accepted must satisfy the schema again.
void t.test("malformed texts give findings with a line inside the text", t => {
    let accepted = 0;
    fc.assert(
        fc.property(malformed, text => {
            const result = parseToml(text, "settings.toml", schema);
            if (isOk(result)) {
                accepted += 1;
                return schema.safeParse(result.value).success && text.includes("name");
            }
            const lineCount = text.split("\n").length;
            return result.error.length > 0 && result.error.every(({ place }) => (place.line ?? 1) <= lineCount);
        }),
        { numRuns: RUNS, seed: SEED },
    );
    t.ok(accepted > 0 && accepted < RUNS, "the inputs contain valid and invalid texts");
    t.end();
});
