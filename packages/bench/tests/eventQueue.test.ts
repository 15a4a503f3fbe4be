import fc from "fast-check";
import t from "tap";
import { EventQueue } from "../src/eventQueue.js";

// Guards against events that come out of order, or that change places when their times are equal.
void t.test("events come in order of time, then of insertion", t => {
    fc.assert(
        fc.property(fc.array(fc.integer({ min: 0, max: 20 })), times => {
            const queue = new EventQueue<number>();
            times.forEach((at, index) => {
                queue.push(at, index);
            });
            const expected = times.map((at, value) => ({ at, value })).sort((a, b) => a.at - b.at || a.value - b.value);
            const popped = times.map(() => queue.pop()).map(event => ({ at: event?.at, value: event?.value }));
            t.equal(queue.pop(), undefined);
            t.same(popped, expected);
        }),
        { numRuns: 200, seed: 1 },
    );
    t.end();
});

// Guards against an event that is lost because it is due after the end of a run, or that runs too early.
void t.test("an event after the end stays in the queue", t => {
    const queue = new EventQueue<string>();
    queue.push(20, "late");
    queue.push(10, "due");
    const popped = [10, 19, 20, Infinity].map(end => queue.popUntil(end)?.value);
    t.same(popped, ["due", undefined, "late", undefined]);
    t.end();
});
