import type { Guards } from "./guards.js";
import type { Bounds, Holder, JobState, Message, ModelAgent, ModelState } from "./modelState.js";

/** What rules depend on besides the state. */
export interface Model {
    readonly bounds: Bounds;
    readonly guards: Guards;
}

/** A state that a rule leads to; `what` says with which process, job or message. */
export interface Successor {
    readonly what: string;
    readonly state: ModelState;
}

/** All successors of a state under one rule; empty when the rule is not enabled. */
export type Rule = (state: ModelState, model: Model) => readonly Successor[];

/** Replaces one element. */
export const replaceAt = <T>(list: readonly T[], index: number, value: T): readonly T[] =>
    list.map((old, at) => at === index ? value : old);

export const changeJob = (state: ModelState, index: number, change: Partial<JobState>): ModelState => ({
    ...state,
    jobs: state.jobs.map((job, at) => at === index ? { ...job, ...change } : job),
});

export const changeHolder = (state: ModelState, index: number, change: Partial<Holder>): ModelState => ({
    ...state,
    holders: state.holders.map((holder, at) => at === index ? { ...holder, ...change } : holder),
});

export const changeAgent = (state: ModelState, index: number, change: Partial<ModelAgent>): ModelState => ({
    ...state,
    agents: state.agents.map((agent, at) => at === index ? { ...agent, ...change } : agent),
});

/** Adds messages to those in flight; equal messages count once and their order carries no meaning. */
export const send = (state: ModelState, added: readonly Message[]): ModelState => {
    const byText = new Map([...state.messages, ...added].map(message => [JSON.stringify(message), message]));
    return { ...state, messages: [...byText].sort(([a], [b]) => a < b ? -1 : 1).map(([, message]) => message) };
};

/** Spends one fault; undefined when none is left. */
export const spendFault = (state: ModelState): ModelState | undefined =>
    state.faultsLeft > 0 ? { ...state, faultsLeft: state.faultsLeft - 1 } : undefined;

/** One successor for each element for which `change` gives a state. */
export const forEachOf = <T>(
    list: readonly T[],
    name: (element: T, index: number) => string,
    change: (element: T, index: number) => ModelState | undefined,
): readonly Successor[] =>
    list.flatMap((element, index) => {
        const state = change(element, index);
        return state === undefined ? [] : [{ what: name(element, index), state }];
    });
