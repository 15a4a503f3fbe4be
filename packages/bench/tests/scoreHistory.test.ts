import { formatSnapshot } from "@persimmonpitch/snapshots/formatSnapshot.js";
import t from "tap";
import { scoreOf } from "../src/scoreHistory.js";

const AT = ["2026-12-04T14:08:36Z", "2026-12-04T14:09:32Z"];

const VALID: Readonly<Record<string, unknown>> = {
    "a score": { cmd: "score", at: AT, site: "s", score: 0.5, days: [] },
    "a score without a result": { cmd: "score", at: AT, site: "s", score: null },
    "a single day": { cmd: "run", at: AT, site: "s", score: 0.5 },
    "a build": { cmd: "build", at: AT },
};

// Guards against single days that are drawn as scores of a site.
void t.test("scores in the journal", t => {
    t.formatSnapshot = formatSnapshot;
    t.matchSnapshot(Object.entries(VALID).map(([name, entry]) => [name, scoreOf(entry)]));
    t.throws(() => scoreOf({ cmd: "score", site: "s", score: 1 }), "an entry without a time is malformed");
    t.end();
});
