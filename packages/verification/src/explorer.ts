import { canonicalKey, plainKey } from "./canonicalKey.js";
import type { ModelOf, ProtocolSpecification, ProtocolTypes, StepOf } from "./protocolSpecification.js";

/** Limits of an exploration. */
export interface ExploreOptions<P extends ProtocolTypes> {
    readonly maxDepth: number;
    readonly maxStates: number;
    /** Rules that are left out. */
    readonly without: readonly P["rule"][];
}

/** A shortest run to a state that violates an invariant. */
export interface Counterexample<P extends ProtocolTypes> {
    readonly invariant: P["invariant"];
    readonly steps: readonly StepOf<P>[];
}

/** What an exploration found. */
export interface Exploration<P extends ProtocolTypes> {
    readonly states: number;
    /** Number of steps to the farthest state. */
    readonly depth: number;
    /** Whether no state is left out by the limits. */
    readonly isComplete: boolean;
    /** How often each rule was enabled. */
    readonly uses: ReadonlyMap<P["rule"], number>;
    readonly counterexample: Counterexample<P> | undefined;
    /** For each state, the rule that first led to it; the initial state has none. */
    readonly rules: readonly (P["rule"] | undefined)[];
    /** The steps that first led to a state, by its place in `rules`. */
    readonly traceTo: (index: number) => readonly StepOf<P>[];
}

interface Node<P extends ProtocolTypes> {
    readonly parent: number;
    readonly step: StepOf<P> | undefined;
}

/** The steps that lead to a node. */
const stepsTo = <P extends ProtocolTypes>(nodes: readonly Node<P>[], index: number): readonly StepOf<P>[] => {
    const node = nodes[index];
    return node?.step === undefined ? [] : [...stepsTo(nodes, node.parent), node.step];
};

/** Explores all states breadth first, so that a counterexample is as short as possible. */
export const explore = <P extends ProtocolTypes>(
    specification: ProtocolSpecification<P>,
    model: ModelOf<P>,
    start: P["state"],
    { maxDepth, maxStates, without }: ExploreOptions<P>,
): Exploration<P> => {
    const { ruleNames, stepsFrom, violatedBy, partsOf, renamings } = specification;
    const names = ruleNames.filter(name => !without.includes(name));
    const seen = new Set([canonicalKey(renamings(start))]);
    // Most steps lead to a state that was seen under the same names, which is cheaper to find out.
    const plainSeen = new Set([plainKey(partsOf(start))]);
    const nodes: Node<P>[] = [{ parent: -1, step: undefined }];
    const uses = new Map<P["rule"], number>();
    let level: readonly (readonly [index: number, state: P["state"]])[] = [[0, start]];
    let depth = 0;
    const end = (isComplete: boolean, counterexample?: Counterexample<P>): Exploration<P> => ({
        states: seen.size,
        depth,
        isComplete,
        uses,
        counterexample,
        rules: nodes.map(({ step }) => step?.rule),
        traceTo: index => stepsTo(nodes, index),
    });
    while (level.length > 0 && depth < maxDepth) {
        const next: (readonly [number, P["state"]])[] = [];
        for (const [index, state] of level) {
            for (const step of stepsFrom(state, model, names)) {
                uses.set(step.rule, (uses.get(step.rule) ?? 0) + 1);
                const invariant = violatedBy(state, step, model);
                if (invariant !== undefined) {
                    return end(false, { invariant, steps: [...stepsTo(nodes, index), step] });
                }
                const plain = plainKey(partsOf(step.state));
                if (plainSeen.has(plain)) {
                    continue;
                }
                plainSeen.add(plain);
                const key = canonicalKey(renamings(step.state));
                if (seen.has(key)) {
                    continue;
                }
                if (seen.size >= maxStates) {
                    return end(false);
                }
                seen.add(key);
                next.push([nodes.length, step.state]);
                nodes.push({ parent: index, step });
            }
        }
        level = next;
        depth += level.length > 0 ? 1 : 0;
    }
    return end(level.length === 0);
};
