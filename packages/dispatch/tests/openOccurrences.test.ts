import t from "tap";
import { openOccurrences } from "../src/openOccurrences.js";
import { jobOf, START } from "./dispatchFixture.js";

const repetition = { count: 100_000, firstDueAt: START, intervalMs: 0 };

// Guards against a pass that builds every due occurrence of a job with very many of them.
void t.test("a pass considers a bounded number of due occurrences, the earliest that are not done", t => {
    const tasks = { "0.0.0": { run: 1, isDone: true }, "2.0.0": { run: 1, isDone: true } };
    const job = jobOf({ id: "a", steps: [{ count: 1 }], repetition, tasks });
    const open = openOccurrences([job], START, START).map(({ occurrence }) => occurrence);
    t.equal(open.length, 100);
    t.same(open.slice(0, 3), [1, 3, 4]);
    t.end();
});
