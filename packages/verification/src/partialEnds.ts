import type { ModelState } from "./modelState.js";
import { LEASE_TICKS, partialAttempts } from "./modelState.js";
import type { Model } from "./rule.js";
import type { RuleName } from "./specification.js";
import { stepsFrom } from "./specification.js";

/**
 * Rules that need neither a repair, such as the return of the store, nor another fault.
 * Time comes first, because the lapse of a lease ends most partial gangs.
 */
const OWN_PROGRESS: readonly RuleName[] = ["tick", "deliver", "stop", "stopUnknown", "finish"];

/** States that one search visits at most; a part of a gang that ends does so within a few steps. */
const MAX_VISITED = 500;

/**
 * Whether each gang that runs in part can end or complete by progress alone.
 * The gangs are searched for one by one: a gang that is partial meanwhile is searched for from its own state.
 */
export const partialEnds = (state: ModelState, model: Model): boolean =>
    partialAttempts(state, model.bounds).every(id => {
        const isOver = (reached: ModelState) => !partialAttempts(reached, model.bounds).includes(id);
        return lapses(state, model, isOver) || canReach(state, model, isOver);
    });

/** Tries the passing of one lease first, which is far cheaper than the search. */
const lapses = (state: ModelState, model: Model, isOver: (reached: ModelState) => boolean): boolean => {
    let reached: ModelState | undefined = state;
    for (let tick = 0; tick < LEASE_TICKS && reached !== undefined; tick += 1) {
        reached = stepsFrom(reached, model, ["tick"])[0]?.state;
    }
    return reached !== undefined && isOver(reached);
};

const canReach = (state: ModelState, model: Model, isOver: (reached: ModelState) => boolean): boolean => {
    const seen = new Set([JSON.stringify(state)]);
    const waiting = [state];
    for (let next = 0; next < waiting.length && seen.size < MAX_VISITED; next += 1) {
        for (const step of stepsFrom(waiting[next] ?? state, model, OWN_PROGRESS)) {
            if (isOver(step.state)) {
                return true;
            }
            const key = JSON.stringify(step.state);
            if (!seen.has(key)) {
                seen.add(key);
                waiting.push(step.state);
            }
        }
    }
    return false;
};
