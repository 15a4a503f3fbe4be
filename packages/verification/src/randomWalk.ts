import type { ModelState } from "./modelState.js";
import type { Model } from "./rule.js";
import type { RuleName, Step } from "./specification.js";
import { RULE_NAMES, stepsFrom } from "./specification.js";

/** Rules that begin or advance an attempt; the others mostly undo it, so walks that choose evenly get nowhere. */
const ADVANCING: ReadonlySet<RuleName> = new Set([
    "fence",
    "reserve",
    "claim",
    "claimAnswerLost",
    "settleClaim",
    "deferClaim",
    "deliver",
    "finish",
    "conclude",
]);
const ADVANCING_WEIGHT = 10;

const weightOf = (rule: RuleName): number => ADVANCING.has(rule) ? ADVANCING_WEIGHT : 1;

/** A run of the model whose steps are chosen at random: first the rule, so that rare rules are not crowded out. */
export const randomWalk = (
    model: Model,
    start: ModelState,
    without: readonly RuleName[],
    length: number,
    random: () => number,
): readonly Step[] => {
    const names = RULE_NAMES.filter(name => !without.includes(name));
    const pick = <T>(list: readonly T[]): T | undefined => list[Math.floor(random() * list.length)];
    const walk: Step[] = [];
    let state = start;
    while (walk.length < length) {
        const steps = stepsFrom(state, model, names);
        const enabled = [...new Set(steps.map(step => step.rule))];
        const rule = pick(enabled.flatMap(name => Array.from({ length: weightOf(name) }, () => name)));
        const step = pick(steps.filter(candidate => candidate.rule === rule));
        if (step === undefined) {
            break;
        }
        walk.push(step);
        state = step.state;
    }
    return walk;
};
