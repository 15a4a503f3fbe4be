import t from "tap";
import { replay } from "./overloadReplay.js";

const REASONS = ["tooLate"] as const;

// Guards against refusals by a cluster with spare capacity, which has to serve callers as before.
void t.test("at half of its capacity a cluster refuses nothing and earns what it earns without admission", t => {
    for (const seed of [1, 2]) {
        const options = { seed, load: 0.8, durationMs: 40_000, retries: 0 };
        const without = replay({ ...options, refusedFor: [] });
        const { refusals, earned } = replay({ ...options, refusedFor: REASONS });
        t.strictSame({ refusals, earned }, { refusals: 0, earned: without.earned }, `seed ${seed}`);
    }
    t.end();
});

// Guards against rows that are written although the load is summarised only once a second.
void t.test("at most one row is written each second", t => {
    const durationMs = 30_000;
    const { rows } = replay({ seed: 1, load: 2, durationMs, refusedFor: REASONS, retries: 0 });
    t.ok(rows > 0 && rows <= (durationMs + 120_000) / 1_000, `${rows} rows`);
    t.end();
});
