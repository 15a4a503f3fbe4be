import t from "tap";
import type { BrokenRuleName } from "../src/brokenRules.js";
import { BROKEN_RULES, modelOf } from "../src/brokenRules.js";
import { explore } from "../src/explorer.js";
import { formatTrace } from "../src/formatTrace.js";
import { SCOPES, startOf } from "../src/scopes.js";

const MAX_STATES = 100_000;

// Guards against invariants and scopes that would not notice a wrong protocol.
for (const [name, { violates, scope }] of Object.entries(BROKEN_RULES)) {
    void t.test(`broken rule ${name}`, t => {
        const { bounds, without } = SCOPES[scope];
        const limits = { maxDepth: Infinity, maxStates: MAX_STATES, without };
        const { counterexample } = explore(modelOf(name as BrokenRuleName, bounds), startOf(SCOPES[scope]), limits);
        t.equal(counterexample?.invariant, violates);
        t.matchSnapshot(formatTrace(counterexample?.steps ?? []));
        t.end();
    });
}
