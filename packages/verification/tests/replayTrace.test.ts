import t from "tap";
import type { BrokenRuleName } from "../src/brokenRules.js";
import { BROKEN_RULES } from "../src/brokenRules.js";
import { CORE_SPECIFICATION } from "../src/coreSpecification.js";
import { formatTrace } from "../src/formatTrace.js";
import { modelOf } from "../src/protocolSpecification.js";
import type { Difference } from "../src/replayTrace.js";
import { replayTrace } from "../src/replayTrace.js";
import type { ScopeName } from "../src/scopes.js";
import { SCOPES } from "../src/scopes.js";
import type { RuleName } from "../src/specification.js";
import { RULE_NAMES } from "../src/specification.js";
import { chosenTraces, walk } from "./chosenTraces.js";

/** The order handlers, the task table and the job store know nothing of configurations. */
const REPLAYED = ["role", "gang", "lease", "contention", "outage"] as const satisfies readonly ScopeName[];

const replayed = new Set<RuleName>();

// Guards against a specification and a code that part: both must show the same state after each step.
for (const name of REPLAYED) {
    void t.test(`traces of ${name} against the real code`, async t => {
        const model = modelOf(CORE_SPECIFICATION, undefined, SCOPES[name].bounds);
        const traces = chosenTraces(CORE_SPECIFICATION, model, SCOPES[name]);
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
            const trace = walk(CORE_SPECIFICATION, model, scope, seed);
            difference = await replayTrace(scope, trace);
        }
        t.type(difference?.step, "number");
    });
}

// Guards against a replay that agrees because its traces avoid what matters.
void t.test("rules that no replayed trace uses", t => {
    t.matchSnapshot(RULE_NAMES.filter(rule => !replayed.has(rule)));
    t.end();
});
