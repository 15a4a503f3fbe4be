import fc from "fast-check";
import t from "tap";
import { parseTaskKey, parseTaskName, taskKey, taskName } from "../src/taskName.js";

const SEED = 1;
const RUNS = 5_000;

const NAME = /^(.+)\.(\d+)\.(\d+)\.(\d+)$/;

/** The form of a name as a regular expression, which is simple but too slow for each run in each pass. */
const parseByExpression = (name: string) => {
    const [, jobId, occurrence, step, index] = NAME.exec(name) ?? [];
    if (jobId === undefined || occurrence === undefined || step === undefined || index === undefined) {
        return undefined;
    }
    const place = { occurrence: Number(occurrence), step: Number(step), index: Number(index) };
    return { ...place, jobId, key: taskKey(place) };
};

const part = fc.oneof(fc.constantFrom("0", "7", "12", "007", "", ".", "a", "-1", "1e3", "\n", "\u0663"), fc.string());

// Guards against a fast parser that takes names apart differently from their form.
void t.test("names of tasks are parsed by their form", t => {
    fc.assert(
        fc.property(fc.array(part, { maxLength: 7 }), parts => {
            const name = parts.join(".");
            t.strictSame(parseTaskName(name), parseByExpression(name));
        }),
        { seed: SEED, numRuns: RUNS },
    );
    t.end();
});

// Guards against a key that is parsed differently from the end of the name that it is part of.
void t.test("a key is parsed as the end of the name of its task", t => {
    for (
        const key of ["0.0.0", "12.3.45", "007.1.2", "1.2", "1.2.3.4", "1..3", ".1.2.3", "1.2.", "a.1.2", "", "1.2.3 "]
    ) {
        const inName = parseTaskName(taskName("job", key));
        const place = inName?.jobId === "job"
            ? { occurrence: inName.occurrence, step: inName.step, index: inName.index }
            : undefined;
        t.strictSame(parseTaskKey(key), place, key);
    }
    t.end();
});
