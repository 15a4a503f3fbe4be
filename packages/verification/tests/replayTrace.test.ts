import fc from "fast-check";
import t from "tap";
import type { BrokenRuleName } from "../src/brokenRules.js";
import { BROKEN_RULES } from "../src/brokenRules.js";
import { CORE_SPECIFICATION } from "../src/coreSpecification.js";
import { explore } from "../src/explorer.js";
import { formatTrace } from "../src/formatTrace.js";
import { modelOf } from "../src/protocolSpecification.js";
import { randomWalk } from "../src/randomWalk.js";
import type { Difference } from "../src/replayTrace.js";
import { replayTrace } from "../src/replayTrace.js";
import type { ScopeName } from "../src/scopes.js";
import { SCOPES, startOf } from "../src/scopes.js";
import type { RuleName, Step } from "../src/specification.js";
import { RULE_NAMES } from "../src/specification.js";

const SEED = 1;
const STATES = 6_000;
/** Explored traces for each rule that they end with. */
const TRACES_PER_RULE = 5;
const WALKS = 30;
const WALK_LENGTH = 40;
const RANGE = 2 ** 30;

/** The order handlers, the task table and the job store know nothing of configurations. */
const REPLAYED = ["role", "gang", "lease", "contention", "outage"] as const satisfies readonly ScopeName[];

const seededRandom = (seed: number): () => number => {
    const numbers = fc.sample(fc.noBias(fc.nat(RANGE - 1)), { seed, numRuns: 1_000 });
    return () => (numbers.pop() ?? 0) / RANGE;
};

const exploredTraces = (name: ScopeName, without: readonly RuleName[]): readonly (readonly Step[])[] => {
    const random = seededRandom(SEED);
    const { bounds } = SCOPES[name];
    const limits = { maxDepth: Infinity, maxStates: STATES, without };
    const model = modelOf(CORE_SPECIFICATION, undefined, bounds);
    const { rules, traceTo } = explore(CORE_SPECIFICATION, model, startOf(SCOPES[name]), limits);
    return RULE_NAMES.flatMap(rule => {
        const found = [...rules.keys()].filter(index => rules[index] === rule);
        const chosen = Array.from({ length: TRACES_PER_RULE }, () => found[Math.floor(random() * found.length)]);
        return [...new Set(chosen)].flatMap(index => index === undefined ? [] : [traceTo(index)]);
    });
};

const walks = (name: ScopeName, without: readonly RuleName[]): readonly (readonly Step[])[] => {
    const model = modelOf(CORE_SPECIFICATION, undefined, SCOPES[name].bounds);
    return Array.from(
        { length: WALKS },
        (_, walk) => randomWalk(model, startOf(SCOPES[name]), without, WALK_LENGTH, seededRandom(SEED + walk)),
    );
};

const replayed = new Set<RuleName>();

// Guards against a specification and a code that part: both must show the same state after each step.
for (const name of REPLAYED) {
    void t.test(`traces of ${name} against the real code`, async t => {
        const { without } = SCOPES[name];
        const traces = [...exploredTraces(name, without), ...walks(name, without)];
        t.comment(`${traces.length} traces, ${traces.reduce((sum, { length }) => sum + length, 0)} steps`);
        for (const [index, trace] of traces.entries()) {
            const difference = await replayTrace(SCOPES[name], trace);
            trace.forEach(({ rule }) => replayed.add(rule));
            if (difference !== undefined) {
                t.fail(`trace ${index}`, {
                    ...difference,
                    trace: formatTrace(CORE_SPECIFICATION, trace.slice(0, difference.step)),
                });
            }
        }
    });
}

/** Broken rules that the replayed code does not follow. */
const CONTRADICTED: readonly BrokenRuleName[] = [
    "claimWithoutEpochCheck",
    "agentWithoutFencing",
    "reserveWithoutCapacityCheck",
    "startWithoutReservation",
    "cancelWithoutCompare",
    "leaseFromReceipt",
];
const MAX_BROKEN_WALKS = 200;

// Guards against a comparison that would not notice a difference.
for (const name of CONTRADICTED) {
    void t.test(`the code does not follow the broken rule ${name}`, async t => {
        const scope = SCOPES[BROKEN_RULES[name].scope];
        const model = modelOf(CORE_SPECIFICATION, name, scope.bounds);
        let difference: Difference | undefined;
        for (let seed = 1; seed <= MAX_BROKEN_WALKS && difference === undefined; seed += 1) {
            const walk = randomWalk(model, startOf(scope), scope.without, WALK_LENGTH, seededRandom(seed));
            difference = await replayTrace(scope, walk);
        }
        t.type(difference?.step, "number");
    });
}

// Guards against a replay that agrees because its traces avoid what matters.
void t.test("rules that no replayed trace uses", t => {
    t.matchSnapshot(RULE_NAMES.filter(rule => !replayed.has(rule)));
    t.end();
});
