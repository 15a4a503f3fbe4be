import { changeTask, UNENDED } from "./attemptTasks.js";
import type { MemberEnd, MessageOf, ModelState, OrderKind, Outcome } from "./modelState.js";
import { CONTACT_TICKS } from "./modelState.js";
import type { Model } from "./rule.js";
import { changeHolder, replaceAt } from "./rule.js";

const END_OF_OUTCOME: Readonly<Partial<Record<Outcome, MemberEnd>>> = {
    stopped: "stopped",
    finished: "finished",
    neverStarted: "neverStarted",
};

type Order = MessageOf<OrderKind>;

/** Takes an agent's answer at the holder that sent the order, if it still holds that epoch. */
export const takeAnswer = (
    state: ModelState,
    { kind, agent, epoch, id }: Order,
    outcome: Outcome,
    instance: number,
    { guards }: Model,
): ModelState => {
    const index = state.holders.findIndex(holder => holder.epoch === epoch);
    const holder = state.holders[index];
    const task = holder?.tasks.find(candidate => candidate.id === id);
    if (holder !== undefined && kind === "fence") {
        return changeHolder(state, index, { fenced: replaceAt(holder.fenced, agent, instance) });
    }
    const member = task?.members.indexOf(agent) ?? -1;
    if (task?.phase === "reserving" && outcome === "reserved") {
        return changeTask(state, index, task, { instances: replaceAt(task.instances, member, instance) });
    }
    const told = END_OF_OUTCOME[outcome];
    if (task?.phase !== "stopping" || told === undefined || task.ends[member] !== UNENDED) {
        return state;
    }
    const end = told === "neverStarted" && !guards.provesNeverStarted(task, member, instance) ? "lost" : told;
    return changeTask(state, index, task, { ends: replaceAt(task.ends, member, end) });
};

const REPORTED: Readonly<Record<"reserved" | "running" | "stopped" | "finished", MemberEnd>> = {
    reserved: "",
    running: "",
    stopped: "stopped",
    finished: "finished",
};

/** Takes an agent's report; an attempt that it does not show has been lost there. */
export const takeReport = (state: ModelState, index: number, agent: number): ModelState => {
    const holder = state.holders[index];
    const reporter = state.agents[agent];
    if (holder === undefined || reporter === undefined) {
        return state;
    }
    const tasks = holder.tasks.map(task => {
        const member = task.members.indexOf(agent);
        const isFollowed = task.phase === "started" || task.phase === "stopping";
        if (!isFollowed || task.ends[member] !== UNENDED) {
            return task;
        }
        const shown = reporter.tasks.find(({ id }) => id === task.id);
        const end = shown === undefined ? "lost" : REPORTED[shown.state];
        return { ...task, ends: replaceAt(task.ends, member, end) };
    });
    const fenced = replaceAt(
        holder.fenced,
        agent,
        holder.fenced[agent] === reporter.instance ? reporter.instance : 0,
    );
    return changeHolder(state, index, { tasks, fenced, contact: replaceAt(holder.contact, agent, CONTACT_TICKS) });
};
