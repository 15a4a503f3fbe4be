import t from "tap";
import { backoffDelay } from "../src/backoff.js";

const OPTIONS = { baseMs: 200, maxMs: 10_000 };

// Guards against delays that grow without bound or are not spread out.
void t.test("the delay doubles up to its bound and is spread below it", t => {
    const table = [0, 1, 2, 3, 7, 50].map(failures =>
        [0, 0.5, 0.999].map(random => backoffDelay(OPTIONS, failures, () => random))
    );
    t.matchSnapshot(table);
    t.end();
});
