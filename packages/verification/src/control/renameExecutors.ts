import { mergeMessages } from "../mergeMessages.js";
import { permutationsOf } from "../permutations.js";
import type { Controller, ControlMessage, ControlState, PendingWrite, RunRow } from "./controlState.js";

type Rename = (executor: number) => number;

const renameRow = (row: RunRow, rename: Rename): RunRow => ({
    ...row,
    tasks: row.tasks.map(task => ({ ...task, at: rename(task.at) })),
});

const reorder = <T>(list: readonly T[], order: readonly number[]): readonly T[] =>
    order.map(executor => list[executor] as T);

const renameWrite = (write: PendingWrite, order: readonly number[], rename: Rename): PendingWrite => ({
    ...write,
    value: renameRow(write.value, rename),
    seen: reorder(write.seen, order),
    lives: reorder(write.lives, order),
});

const renameController = (controller: Controller, order: readonly number[], rename: Rename): Controller => ({
    ...controller,
    row: renameRow(controller.row, rename),
    written: renameRow(controller.written, rename),
    held: controller.held.map(held => held === undefined ? undefined : { ...held, at: rename(held.at) }),
    isListed: reorder(controller.isListed, order),
    lives: reorder(controller.lives, order),
    deadlines: reorder(controller.deadlines, order),
    seen: reorder(controller.seen, order),
    durable: reorder(controller.durable, order),
    acknowledged: reorder(controller.acknowledged, order),
    pending: controller.pending === undefined ? undefined : renameWrite(controller.pending, order, rename),
});

const renameMessage = (message: ControlMessage, rename: Rename): ControlMessage =>
    message.kind === "write"
        ? { ...message, value: renameRow(message.value, rename) }
        : { ...message, executor: rename(message.executor) };

/** Renames the executors; `order[i]` is the executor that takes place `i`. */
const renameExecutors = (state: ControlState, order: readonly number[]): ControlState => {
    const rename: Rename = executor => order.indexOf(executor);
    return {
        ...state,
        store: { ...state.store, row: renameRow(state.store.row, rename) },
        controllers: state.controllers.map(controller => renameController(controller, order, rename)),
        executors: reorder(state.executors, order),
        messages: mergeMessages([], state.messages.map(message => renameMessage(message, rename))),
    };
};

/** The state under all names of its executors. */
export const executorRenamings = (state: ControlState): readonly ControlState[] =>
    permutationsOf(state.executors.length).map(order => renameExecutors(state, order));
