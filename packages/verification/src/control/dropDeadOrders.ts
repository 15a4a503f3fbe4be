import type { ControlModel } from "./controlRule.js";
import type { ControlMessage, ControlMessageOf, ControlState } from "./controlState.js";
import { isGivenUp, refusalOf, senderOf } from "./executorRules.js";

type Kind = ControlMessage["kind"];
type IsDead<K extends Kind> = (state: ControlState, message: ControlMessageOf<K>, model: ControlModel) => boolean;

/** Messages that can change nothing any more, whatever happens later. */
const IS_DEAD: { readonly [K in Kind]: IsDead<K>; } = {
    // Each reason for a refusal stays true, and nobody waits for the answer.
    start: (state, start, model) => {
        const executor = state.executors[start.executor];
        return executor !== undefined && senderOf(state, start) < 0
            && (isGivenUp(state, start) || refusalOf(state, executor, start, model) !== undefined);
    },
    stop: (state, stop, { guards }) => {
        const executor = state.executors[stop.executor];
        const isNoted = executor === undefined || !guards.acceptsToken(executor, stop.epoch)
            || ((executor.stopped[stop.task] ?? 0) >= stop.run
                && executor.running.every(({ task, run, isStopping }) =>
                    task !== stop.task || run !== stop.run || isStopping
                ));
        return isNoted && senderOf(state, stop) < 0;
    },
    lease: ({ executors }, { executor: index, life, epoch, deadline, acknowledged }, { guards }) => {
        const executor = executors[index];
        const isTaken = executor !== undefined && guards.acknowledgesLife(executor, life)
            && guards.acceptsToken(executor, epoch);
        const isNew = executor !== undefined
            && (deadline > executor.lease || executor.lastEnd < acknowledged
                || executor.ends.some(({ number }) => number <= acknowledged));
        return !isTaken || !isNew;
    },
    // A report ends with its connection, and one of an older incarnation is not taken in.
    report: ({ controllers }, { executor, epoch, listed }) =>
        controllers.every(controller =>
            controller.epoch !== epoch || controller.isListed[executor] !== true
            || controller.lives[executor] !== listed.life
        ),
    write: (state, { epoch, version }, { guards }) => !guards.mayWrite(state, epoch, version),
};

/** Removes messages whose delivery can change nothing any more, so that fewer states differ only in them. */
export const dropDeadOrders = (state: ControlState, model: ControlModel): ControlState => {
    const messages = state.messages.filter(message => !(IS_DEAD[message.kind] as IsDead<Kind>)(state, message, model));
    return messages.length === state.messages.length ? state : { ...state, messages };
};
