import fc from "fast-check";
import t from "tap";
import { modelOf } from "../src/brokenRules.js";
import { formatTrace } from "../src/formatTrace.js";
import { randomWalk } from "../src/randomWalk.js";
import { replayTrace } from "../src/replayTrace.js";
import type { ScopeName } from "../src/scopes.js";
import { SCOPES, startOf } from "../src/scopes.js";
import type { RuleName, Step } from "../src/specification.js";

const WALKS = 40;
const WALK_LENGTH = 40;
const RANGE = 2 ** 30;

/** The order handlers, the task table and the job store know nothing of configurations. */
const REPLAYED: readonly ScopeName[] = ["role", "gang", "lease", "contention", "outage"];

/** Rules that have to occur among the replayed traces. */
const NEEDED: readonly RuleName[] = ["claim", "claimAnswerLost", "deferClaim", "conclude", "replaceVm", "finish"];

const seededRandom = (seed: number): () => number => {
    const numbers = fc.sample(fc.noBias(fc.nat(RANGE - 1)), { seed, numRuns: 2 * WALK_LENGTH });
    return () => (numbers.pop() ?? 0) / RANGE;
};

const walkOf = (name: ScopeName, seed: number): readonly Step[] => {
    const { bounds, without } = SCOPES[name];
    return randomWalk(modelOf(undefined, bounds), startOf(SCOPES[name]), without, WALK_LENGTH, seededRandom(seed));
};

// Guards against a specification and a code that part: both must show the same state after each step.
void t.test("traces against the real code", async t => {
    const used = new Set<RuleName>();
    for (const name of REPLAYED) {
        for (let seed = 1; seed <= WALKS; seed += 1) {
            const walk = walkOf(name, seed);
            const difference = await replayTrace(SCOPES[name], walk);
            walk.forEach(({ rule }) => used.add(rule));
            if (difference !== undefined) {
                t.fail(`${name}, seed ${seed}, step ${difference.step}`, {
                    ...difference,
                    trace: formatTrace(walk.slice(0, difference.step)),
                });
            }
        }
    }
    t.same(NEEDED.filter(rule => !used.has(rule)), [], "the traces reach the rules that matter");
    t.end();
});
