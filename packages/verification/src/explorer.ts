import { canonicalKey, plainKey } from "./canonicalKey.js";
import type { InvariantName } from "./modelInvariants.js";
import { violatedBy } from "./modelInvariants.js";
import type { ModelState } from "./modelState.js";
import type { Model } from "./rule.js";
import type { RuleName, Step } from "./specification.js";
import { RULE_NAMES, stepsFrom } from "./specification.js";

/** Limits of an exploration. */
export interface ExploreOptions {
    readonly maxDepth: number;
    readonly maxStates: number;
    /** Rules that are left out. */
    readonly without: readonly RuleName[];
}

/** A shortest run to a state that violates an invariant. */
export interface Counterexample {
    readonly invariant: InvariantName;
    readonly steps: readonly Step[];
}

/** What an exploration found. */
export interface Exploration {
    readonly states: number;
    /** Number of steps to the farthest state. */
    readonly depth: number;
    /** Whether no state is left out by the limits. */
    readonly isComplete: boolean;
    /** How often each rule was enabled. */
    readonly uses: ReadonlyMap<RuleName, number>;
    readonly counterexample: Counterexample | undefined;
}

interface Node {
    readonly parent: number;
    readonly step: Step | undefined;
}

/** The steps that lead to a node. */
const stepsTo = (nodes: readonly Node[], index: number): readonly Step[] => {
    const node = nodes[index];
    return node?.step === undefined ? [] : [...stepsTo(nodes, node.parent), node.step];
};

/** Explores all states breadth first, so that a counterexample is as short as possible. */
export const explore = (
    model: Model,
    start: ModelState,
    { maxDepth, maxStates, without }: ExploreOptions,
): Exploration => {
    const names = RULE_NAMES.filter(name => !without.includes(name));
    const seen = new Set([canonicalKey(start)]);
    // Most steps lead to a state that was seen under the same names, which is cheaper to find out.
    const plainSeen = new Set([plainKey(start)]);
    const nodes: Node[] = [{ parent: -1, step: undefined }];
    const uses = new Map<RuleName, number>();
    let level: readonly (readonly [index: number, state: ModelState])[] = [[0, start]];
    let depth = 0;
    while (level.length > 0 && depth < maxDepth) {
        const next: (readonly [number, ModelState])[] = [];
        for (const [index, state] of level) {
            for (const step of stepsFrom(state, model, names)) {
                uses.set(step.rule, (uses.get(step.rule) ?? 0) + 1);
                const invariant = violatedBy(state, step, model);
                if (invariant !== undefined) {
                    const steps = [...stepsTo(nodes, index), step];
                    return { states: seen.size, depth, isComplete: false, uses, counterexample: { invariant, steps } };
                }
                const plain = plainKey(step.state);
                const key = plainSeen.has(plain) ? plain : canonicalKey(step.state);
                const isNew = !plainSeen.has(plain) && !seen.has(key);
                plainSeen.add(plain);
                if (isNew) {
                    if (seen.size >= maxStates) {
                        return { states: seen.size, depth, isComplete: false, uses, counterexample: undefined };
                    }
                    seen.add(key);
                    next.push([nodes.length, step.state]);
                    nodes.push({ parent: index, step });
                }
            }
        }
        level = next;
        depth += level.length > 0 ? 1 : 0;
    }
    return { states: seen.size, depth, isComplete: level.length === 0, uses, counterexample: undefined };
};

/** The trace of a counterexample, one step a line. */
export const formatTrace = (steps: readonly Step[]): string =>
    steps.map(({ rule, what }, index) => `${index + 1}. ${rule} ${what}`.trimEnd()).join("\n");
