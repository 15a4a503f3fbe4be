import type { Guards } from "./guards.js";
import { mergeMessages } from "./mergeMessages.js";
import type { Bounds, Holder, JobState, Message, ModelAgent, ModelState } from "./modelState.js";

/** What rules depend on besides the state. */
export interface Model {
    readonly bounds: Bounds;
    readonly guards: Guards;
}

/** What a step concerns, as far as it applies. */
export interface Subject {
    readonly attempt?: string;
    readonly job?: number;
    readonly agents?: readonly number[];
    readonly holder?: number;
    readonly message?: Message;
    readonly isAnswerLost?: boolean;
}

/** A state that a rule leads to. */
export interface Successor {
    readonly subject: Subject;
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

/** Adds messages to those in flight. */
export const send = (state: ModelState, added: readonly Message[]): ModelState => ({
    ...state,
    messages: mergeMessages(state.messages, added),
});

/** Spends one fault; undefined when none is left. */
export const spendFault = (state: ModelState): ModelState | undefined =>
    state.faultsLeft > 0 ? { ...state, faultsLeft: state.faultsLeft - 1 } : undefined;

/** One successor for each element for which `change` gives a state. */
export const forEachOf = <T>(
    list: readonly T[],
    subjectOf: (element: T, index: number) => Subject,
    change: (element: T, index: number) => ModelState | undefined,
): readonly Successor[] =>
    list.flatMap((element, index) => {
        const state = change(element, index);
        return state === undefined ? [] : [{ subject: subjectOf(element, index), state }];
    });
