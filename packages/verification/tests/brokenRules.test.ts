import t from "tap";
import { CONTROL_SPECIFICATION } from "../src/control/controlSpecification.js";
import { CORE_SPECIFICATION } from "../src/coreSpecification.js";
import { explore } from "../src/explorer.js";
import { formatTrace } from "../src/formatTrace.js";
import type { ProtocolSpecification, ProtocolTypes } from "../src/protocolSpecification.js";
import { modelOf } from "../src/protocolSpecification.js";

const MAX_STATES = 150_000;

// Guards against invariants and scopes that would not notice a wrong protocol.
const testBrokenRules = <P extends ProtocolTypes>(specification: ProtocolSpecification<P>): void => {
    const { brokenRules, scopes, startOf } = specification;
    for (const name of Object.keys(brokenRules) as P["brokenRule"][]) {
        void t.test(`broken rule ${name}`, t => {
            const { violates, scope } = brokenRules[name];
            const { bounds, without } = scopes[scope];
            const limits = { maxDepth: Infinity, maxStates: MAX_STATES, without };
            const model = modelOf(specification, name, bounds);
            const { counterexample } = explore(specification, model, startOf(scopes[scope]), limits);
            t.equal(counterexample?.invariant, violates);
            t.matchSnapshot(formatTrace(specification, counterexample?.steps ?? []));
            t.end();
        });
    }
};

testBrokenRules(CORE_SPECIFICATION);
testBrokenRules(CONTROL_SPECIFICATION);
