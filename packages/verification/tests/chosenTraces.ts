import fc from "fast-check";
import { explore } from "../src/explorer.js";
import type { ModelOf, ProtocolSpecification, ProtocolTypes, ScopeOf, StepOf } from "../src/protocolSpecification.js";
import { randomWalk } from "../src/randomWalk.js";

const SEED = 1;
const STATES = 6_000;
/** Explored traces for each rule that they end with. */
const TRACES_PER_RULE = 5;
const WALKS = 30;
const WALK_LENGTH = 40;
const RANGE = 2 ** 30;

const seededRandom = (seed: number): () => number => {
    const numbers = fc.sample(fc.noBias(fc.nat(RANGE - 1)), { seed, numRuns: 1_000 });
    return () => (numbers.pop() ?? 0) / RANGE;
};

const exploredTraces = <P extends ProtocolTypes>(
    specification: ProtocolSpecification<P>,
    model: ModelOf<P>,
    scope: ScopeOf<P["bounds"], P["rule"]>,
): readonly (readonly StepOf<P>[])[] => {
    const random = seededRandom(SEED);
    const limits = { maxDepth: Infinity, maxStates: STATES, without: scope.without };
    const { rules, traceTo } = explore(specification, model, specification.startOf(scope), limits);
    return specification.ruleNames.flatMap(rule => {
        const found = [...rules.keys()].filter(index => rules[index] === rule);
        const chosen = Array.from({ length: TRACES_PER_RULE }, () => found[Math.floor(random() * found.length)]);
        return [...new Set(chosen)].flatMap(index => index === undefined ? [] : [traceTo(index)]);
    });
};

/** A random walk through a scope, the same for the same seed. */
export const walk = <P extends ProtocolTypes>(
    specification: ProtocolSpecification<P>,
    model: ModelOf<P>,
    scope: ScopeOf<P["bounds"], P["rule"]>,
    seed: number,
): readonly StepOf<P>[] =>
    randomWalk(specification, model, specification.startOf(scope), scope.without, WALK_LENGTH, seededRandom(seed));

/** Runs of a scope to replay: explored traces to each rule, and random walks. */
export const chosenTraces = <P extends ProtocolTypes>(
    specification: ProtocolSpecification<P>,
    model: ModelOf<P>,
    scope: ScopeOf<P["bounds"], P["rule"]>,
): readonly (readonly StepOf<P>[])[] => [
    ...exploredTraces(specification, model, scope),
    ...Array.from({ length: WALKS }, (_, index) => walk(specification, model, scope, SEED + index)),
];
