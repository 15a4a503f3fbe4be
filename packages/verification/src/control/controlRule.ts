import { mergeMessages } from "../mergeMessages.js";
import type { ControlGuards } from "./controlGuards.js";
import type {
    ControlBounds,
    Controller,
    ControlMessage,
    ControlState,
    ControlStore,
    Executor,
} from "./controlState.js";

/** What rules depend on besides the state. */
export interface ControlModel {
    readonly bounds: ControlBounds;
    readonly guards: ControlGuards;
}

/** What a step concerns, as far as it applies. */
export interface ControlSubject {
    readonly controller?: number;
    readonly executor?: number;
    readonly task?: number;
    readonly placement?: readonly number[];
    readonly message?: ControlMessage;
    /** How a call ended, unless it was answered. */
    readonly outcome?: "conflict" | "answer lost" | "under way" | "refused";
}

/** A state that a rule leads to. */
export interface ControlSuccessor {
    readonly subject: ControlSubject;
    readonly state: ControlState;
}

/** All successors of a state under one rule; empty when the rule is not enabled. */
export type ControlRule = (state: ControlState, model: ControlModel) => readonly ControlSuccessor[];

/** Replaces one element. */
export const replaceAt = <T>(list: readonly T[], index: number, value: T): readonly T[] =>
    list.map((old, at) => at === index ? value : old);

export const changeController = (state: ControlState, index: number, change: Partial<Controller>): ControlState => ({
    ...state,
    controllers: state.controllers.map((old, at) => at === index ? { ...old, ...change } : old),
});

export const changeExecutor = (state: ControlState, index: number, change: Partial<Executor>): ControlState => ({
    ...state,
    executors: state.executors.map((old, at) => at === index ? { ...old, ...change } : old),
});

export const changeStore = (state: ControlState, change: Partial<ControlStore>): ControlState => ({
    ...state,
    store: { ...state.store, ...change },
});

/** Adds messages to those in flight. */
export const sendAll = (state: ControlState, added: readonly ControlMessage[]): ControlState => ({
    ...state,
    messages: mergeMessages(state.messages, added),
});

/** Spends one fault; undefined when none is left. */
export const spendFault = (state: ControlState): ControlState | undefined =>
    state.faultsLeft > 0 ? { ...state, faultsLeft: state.faultsLeft - 1 } : undefined;

/** One successor for each controller for which `change` gives a state. */
export const forEachController = (
    state: ControlState,
    change: (controller: Controller, index: number) => ControlState | undefined,
): readonly ControlSuccessor[] =>
    state.controllers.flatMap((controller, index) => {
        const next = controller.epoch > 0 ? change(controller, index) : undefined;
        return next === undefined ? [] : [{ subject: { controller: index }, state: next }];
    });

/** One successor for each controller and executor for which `change` gives a state. */
export const forEachLink = (
    state: ControlState,
    change: (controller: Controller, index: number, executor: number) => ControlState | undefined,
): readonly ControlSuccessor[] =>
    state.executors.flatMap((_, executor) =>
        forEachController(state, (controller, index) => change(controller, index, executor))
            .map(({ subject, state: next }) => ({ subject: { ...subject, executor }, state: next }))
    );

/** Whether two values have the same content. */
export const isSame = (a: unknown, b: unknown): boolean => JSON.stringify(a) === JSON.stringify(b);
