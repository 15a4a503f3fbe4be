import t from "tap";
import { CONTROL_SPECIFICATION } from "../src/control/controlSpecification.js";
import { CORE_SPECIFICATION } from "../src/coreSpecification.js";
import { explore } from "../src/explorer.js";
import { formatTrace } from "../src/formatTrace.js";
import type { ProtocolSpecification, ProtocolTypes } from "../src/protocolSpecification.js";
import { modelOf } from "../src/protocolSpecification.js";

const CORE_STATES_PER_SCOPE = 25_000;
/** Enough for five of the scopes to be complete. */
const CONTROL_STATES_PER_SCOPE = 20_000;
const MIN_STATES = 100_000;

/** Explores the small scopes; `unused` names the rules that only a broken rule enables. */
const testSpecification = <P extends ProtocolTypes>(
    name: string,
    specification: ProtocolSpecification<P>,
    maxStates: number,
    unused: readonly P["rule"][],
): void => {
    const { scopes, ruleNames, startOf } = specification;
    // Guards against a protocol that breaks an invariant within the bounds, and against rules that no run ever uses.
    void t.test(`no invariant of the ${name} is violated`, t => {
        const found = (Object.keys(scopes) as P["scope"][]).map(scope => {
            const { without, bounds } = scopes[scope];
            const limits = { maxDepth: Infinity, maxStates, without };
            const model = modelOf(specification, undefined, bounds);
            const { counterexample, states, uses } = explore(specification, model, startOf(scopes[scope]), limits);
            t.equal(formatTrace(specification, counterexample?.steps ?? []), "", scope);
            return { states, uses };
        });
        t.ok(found.reduce((sum, { states }) => sum + states, 0) >= MIN_STATES, "enough distinct states");
        const used = new Set(found.flatMap(({ uses }) => [...uses.keys()]));
        t.same(ruleNames.filter(rule => !used.has(rule)), unused, "every rule of the protocol is used");
        t.end();
    });
};

// deferClaim is enabled only by the broken rule that starts a job without a claim.
testSpecification("core protocol", CORE_SPECIFICATION, CORE_STATES_PER_SCOPE, ["deferClaim"]);
testSpecification("protocol of jobs of steps", CONTROL_SPECIFICATION, CONTROL_STATES_PER_SCOPE, []);
