import type { ModelState } from "./modelState.js";
import type { Model } from "./rule.js";
import type { RuleName, Step } from "./specification.js";
import { RULE_NAMES, stepsFrom } from "./specification.js";

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
        const rule = pick([...new Set(steps.map(step => step.rule))]);
        const step = pick(steps.filter(candidate => candidate.rule === rule));
        if (step === undefined) {
            break;
        }
        walk.push(step);
        state = step.state;
    }
    return walk;
};
