import fc from "fast-check";
import t from "tap";
import { DEFAULT_DISPATCH_OPTIONS } from "../src/dispatchOptions.js";
import { runPass } from "../src/dispatchPass.js";
import type { DispatchView } from "../src/dispatchView.js";
import { SearchTurns } from "../src/searchTurns.js";
import { executorsOf, jobOf, placedOn, runOf, viewOf } from "./dispatchFixture.js";

const SEED = 46_009;
const RUNS = 200;

const { maxSearches, maxSearchTurns } = DEFAULT_DISPATCH_OPTIONS;
const EXECUTORS_PER_RACK = 3;
const WHOLE_EXECUTOR = { accelerators: 8 };

const viewInput = fc.record({
    racks: fc.integer({ min: 2, max: 4 }),
    /** Gangs that need every executor, so none of them can start while the work in the first rack lasts. */
    blockedGangs: fc.integer({ min: 0, max: 60 }),
    /** Jobs of the lowest priority with their data in the first rack, which is full. */
    smallJobs: fc.integer({ min: 1, max: 6 }),
});
type ViewInput = typeof viewInput extends fc.Arbitrary<infer Input> ? Input : never;

const buildView = ({ racks, blockedGangs, smallJobs }: ViewInput): DispatchView => {
    const executors = racks * EXECUTORS_PER_RACK;
    const lastingKeys = Array.from({ length: EXECUTORS_PER_RACK }, (_, index) => `0.0.${index}`);
    const lasting = jobOf({
        id: "lasting",
        queue: "counter",
        steps: [{ count: EXECUTORS_PER_RACK, isLongRunning: true, demand: WHOLE_EXECUTOR }],
        tasks: Object.fromEntries(lastingKeys.flatMap((key, index) => Object.entries(placedOn(index, key)))),
    });
    const gangs = Array.from({ length: blockedGangs }, (_, index) =>
        jobOf({
            id: `gang${index}`,
            queue: "counter",
            steps: [{ count: executors, isGang: true, demand: WHOLE_EXECUTOR }],
        }));
    const small = Array.from(
        { length: smallJobs },
        (_, index) => jobOf({ id: `small${index}`, queue: "preview", steps: [{ count: 1, dataRack: "rack0" }] }),
    );
    return viewOf(
        [lasting, ...gangs, ...small],
        executorsOf(executors, index => {
            const key = lastingKeys[index];
            return key === undefined ? {} : { runs: [runOf("lasting", key, 60_000, 100)] };
        }),
    );
};

/** Ids of the jobs that start in successive passes over the same view. */
const startedIn = (view: DispatchView, passes: number): ReadonlySet<string> => {
    const turns = new SearchTurns();
    const started = new Set<string>();
    for (let pass = 0; pass < passes; pass += 1) {
        const searchTurns = turns.next(maxSearchTurns);
        const { decisions, searchCount, skippedSearches } = runPass({ ...view, searchTurns });
        turns.record(skippedSearches);
        if (searchCount > maxSearches) {
            throw new Error(`${searchCount} searches in one pass`);
        }
        decisions.filter(({ kind }) => kind === "start").forEach(({ jobId }) => started.add(jobId));
    }
    return started;
};

// Guards against work that never starts on idle executors because blocked units of better rank use up the searches of
// every pass.
void t.test("work that fits on slower executors starts within a bounded number of passes", t => {
    fc.assert(
        fc.property(viewInput, input => {
            const waiting = input.blockedGangs + input.smallJobs;
            const started = startedIn(buildView(input), 1 + Math.ceil(waiting / maxSearchTurns));
            t.equal(started.size, input.smallJobs, JSON.stringify(input));
            return started.size === input.smallJobs;
        }),
        { seed: SEED, numRuns: RUNS },
    );
    t.end();
});
