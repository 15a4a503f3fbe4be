import t from "tap";
import type { ControlBrokenRuleName } from "../src/control/controlBrokenRules.js";
import { CONTROL_BROKEN_RULES } from "../src/control/controlBrokenRules.js";
import type { ControlGuards } from "../src/control/controlGuards.js";
import type { ControlRuleName } from "../src/control/controlRules.js";
import { CONTROL_RULE_NAMES } from "../src/control/controlRules.js";
import type { ControlScopeName } from "../src/control/controlScopes.js";
import { CONTROL_SCOPES } from "../src/control/controlScopes.js";
import { CONTROL_SPECIFICATION } from "../src/control/controlSpecification.js";
import { replayControlTrace } from "../src/control/replayControlTrace.js";
import { explore } from "../src/explorer.js";
import { formatTrace } from "../src/formatTrace.js";
import { modelOf } from "../src/protocolSpecification.js";
import { chosenTraces } from "./chosenTraces.js";
import { KNOWN_RED } from "./knownRed.js";

const MAX_STATES = 150_000;

/** Cancellation is left out: the controller's own tasks act on it. */
const REPLAYED = [
    "twoControllers",
    "store",
    "silence",
    "repetition",
    "lives",
    "restart",
    "gang",
    "lateGang",
    "failures",
    "gangTakeover",
    "reports",
] as const satisfies readonly ControlScopeName[];

/** The code under test decides on these. */
const CONTRADICTED: readonly ControlBrokenRuleName[] = [
    "writeWithoutConditions",
    "orderWithoutToken",
    "freeAtStop",
    "goneByOlderList",
    "startStoppedRun",
    "startAfterDeadline",
    "loseRunsOfOlderLife",
    "dropLateDone",
    "dropLateDoneAfterTakeover",
    "recordLateDone",
    "recordLateGang",
    "countEveryFailure",
    "countLateFailureAgain",
];

/** The specification with the faults that KNOWN-RED.txt lists for the code, so that the rest is compared. */
const codeAsKnown = (name: ControlScopeName) => {
    const { bounds } = CONTROL_SCOPES[name];
    const model = modelOf(CONTROL_SPECIFICATION, undefined, bounds);
    const known: readonly Partial<ControlGuards>[] = CONTRADICTED.filter(rule => KNOWN_RED.has(rule))
        .map(rule => CONTROL_BROKEN_RULES[rule].guards);
    return { bounds, guards: known.reduce<ControlGuards>((guards, fault) => ({ ...guards, ...fault }), model.guards) };
};

const replayed = new Set<ControlRuleName>();

// Guards against a specification and a code that part: both must show the same state after each step.
for (const name of REPLAYED) {
    void t.test(`traces of ${name} against the real code`, async t => {
        const scope = CONTROL_SCOPES[name];
        const unchecked = { ...CONTROL_SPECIFICATION, violatedBy: () => undefined };
        const traces = chosenTraces(unchecked, codeAsKnown(name), scope);
        t.comment(`${traces.length} traces, ${traces.reduce((sum, { length }) => sum + length, 0)} steps`);
        for (const [index, trace] of traces.entries()) {
            const difference = await replayControlTrace(scope, trace);
            trace.forEach(({ rule }) => replayed.add(rule));
            if (difference !== undefined) {
                const steps = formatTrace(CONTROL_SPECIFICATION, trace.slice(0, difference.step));
                t.fail(`trace ${index}`, { ...difference, trace: steps });
            }
        }
    });
}

// Guards against a comparison that would not notice a difference, and against code that follows a broken rule.
for (const name of CONTRADICTED) {
    void t.test(`the code does not follow the broken rule ${name}`, async t => {
        const scope = CONTROL_SCOPES[CONTROL_BROKEN_RULES[name].scope];
        const limits = { maxDepth: Infinity, maxStates: MAX_STATES, without: scope.without };
        const model = modelOf(CONTROL_SPECIFICATION, name, scope.bounds);
        const start = CONTROL_SPECIFICATION.startOf(scope);
        const { counterexample } = explore(CONTROL_SPECIFICATION, model, start, limits);
        const difference = await replayControlTrace(scope, counterexample?.steps ?? []);
        if (KNOWN_RED.has(name)) {
            t.comment("known red, KNOWN-RED.txt");
            t.equal(difference, undefined, "KNOWN-RED.txt lists this rule, so the code follows it");
        }
        else {
            t.type(difference?.step, "number");
        }
    });
}

// Guards against a replay that agrees because its traces avoid what matters.
void t.test("rules that no replayed trace uses", t => {
    t.matchSnapshot(CONTROL_RULE_NAMES.filter(rule => !replayed.has(rule)));
    t.end();
});
