import t from "tap";
import { openOccurrences } from "../src/openOccurrences.js";
import { jobOf, placedOn, START } from "./dispatchFixture.js";

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

// Guards against a due occurrence that waits beside free room until one of many long occurrences before it has ended.
void t.test("occurrences that only run do not keep later ones from being considered", t => {
    const running = Array.from({ length: 120 }, (_, occurrence) => `${occurrence}.0.0`);
    const job = jobOf({ id: "a", steps: [{ count: 1 }], repetition, tasks: placedOn(0, ...running) });
    const open = openOccurrences([job], START, START).map(({ occurrence }) => occurrence);
    t.equal(open.length, 220, "those that run, and 100 that wait");
    t.equal(open.at(-1), 219);
    t.end();
});
