import type { ModelOf, ProtocolSpecification, ProtocolTypes, StepOf } from "./protocolSpecification.js";

const ADVANCING_WEIGHT = 10;

/** A run of the model whose steps are chosen at random: first the rule, so that rare rules are not crowded out. */
export const randomWalk = <P extends ProtocolTypes>(
    { ruleNames, advancing, stepsFrom }: ProtocolSpecification<P>,
    model: ModelOf<P>,
    start: P["state"],
    without: readonly P["rule"][],
    length: number,
    random: () => number,
): readonly StepOf<P>[] => {
    const names = ruleNames.filter(name => !without.includes(name));
    const weightOf = (rule: P["rule"]): number => advancing.has(rule) ? ADVANCING_WEIGHT : 1;
    const pick = <T>(list: readonly T[]): T | undefined => list[Math.floor(random() * list.length)];
    const walk: StepOf<P>[] = [];
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
