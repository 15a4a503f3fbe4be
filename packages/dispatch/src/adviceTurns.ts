import type { StepNeedingAdvice } from "./stepsNeedingAdvice.js";

/** Rule by which the step of a call is chosen: by rank, by room before rank, or by the time since its last call. */
type TurnRule = "rank" | "room" | "age";

/**
 * The rules of successive calls. By rank alone, blocked work of better rank would use every call. Work that has room
 * starts with its next call, and every waiting step is asked about once in four times as many calls as steps wait.
 */
const RULES: readonly TurnRule[] = ["rank", "room", "rank", "age"];

const byLastCall = (steps: readonly StepNeedingAdvice[]): readonly StepNeedingAdvice[] =>
    [...steps].sort((left, right) => left.lastAskedAt - right.lastAskedAt);

/** Yields the steps that have room, the longest without a call first, and then all by rank. */
function* roomFirst(steps: readonly StepNeedingAdvice[]): Generator<StepNeedingAdvice> {
    for (const step of byLastCall(steps)) {
        if (step.hasRoom()) {
            yield step;
        }
    }
    yield* steps;
}

const ORDERS: { readonly [K in TurnRule]: (steps: readonly StepNeedingAdvice[]) => Iterable<StepNeedingAdvice>; } = {
    rank: steps => steps,
    room: roomFirst,
    age: byLastCall,
};

/** The steps, given by rank, in the order in which they get the next call after `calls` earlier ones. */
export const stepsInTurn = (
    steps: readonly StepNeedingAdvice[],
    calls: number,
): Iterable<StepNeedingAdvice> => ORDERS[RULES[calls % RULES.length] ?? "rank"](steps);
