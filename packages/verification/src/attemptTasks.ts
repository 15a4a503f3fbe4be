import type { AttemptTask, Holder, MemberEnd, Message, ModelState } from "./modelState.js";
import type { Successor } from "./rule.js";
import { changeHolder, forEachOf } from "./rule.js";

/** End of a member that has not ended. */
export const UNENDED: MemberEnd = "";

/** Replaces a task of a holder, or removes it. */
export const changeTask = (
    state: ModelState,
    holder: number,
    task: AttemptTask,
    change: Partial<AttemptTask> | undefined,
): ModelState => {
    const tasks = state.holders[holder]?.tasks ?? [];
    return changeHolder(state, holder, {
        tasks: change === undefined
            ? tasks.filter(({ id }) => id !== task.id)
            : tasks.map(old => old.id === task.id ? { ...old, ...change } : old),
    });
};

/** One successor for each attempt of each holder for which `change` gives a state. */
export const forEachTask = (
    state: ModelState,
    change: (task: AttemptTask, holder: Holder, index: number) => ModelState | undefined,
): readonly Successor[] =>
    state.holders.flatMap((holder, index) =>
        forEachOf(
            holder.tasks,
            ({ id }) => ({ attempt: id, holder: index }),
            task => change(task, holder, index),
        )
    );

/** One order to each member. */
export const ordersFor = ({ members, id }: AttemptTask, epoch: number, kind: "reserve" | "start" | "stop") =>
    members.map((agent): Message => ({ kind, agent, epoch, id }));
