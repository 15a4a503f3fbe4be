import type { Message, ModelState } from "./modelState.js";
import { permutationsOf } from "./permutations.js";

const byAgent = (a: readonly [number, unknown], b: readonly [number, unknown]): number => a[0] - b[0];

/** Renames the agents; `order[i]` is the agent that takes place `i`. */
const renameAgents = (state: ModelState, order: readonly number[]): ModelState => {
    const placeOf = order.map((_, agent) => order.indexOf(agent));
    const rename = (agent: number): number => placeOf[agent] ?? agent;
    const reorder = <T>(list: readonly T[]): readonly T[] => order.flatMap(agent => list[agent] ?? []);
    const messages = state.messages.map((message): Message => ({ ...message, agent: rename(message.agent) }));
    const textOf = new Map(messages.map(message => [message, JSON.stringify(message)]));
    return {
        ...state,
        jobs: state.jobs.map(job => ({ ...job, members: job.members.map(rename).sort() })),
        holders: state.holders.map(holder => ({
            ...holder,
            fenced: order.map(agent => holder.fenced[agent] ?? 0),
            contact: order.map(agent => holder.contact[agent] ?? 0),
            tasks: holder.tasks.map(task => {
                const members = task.members.map((agent, member) => [rename(agent), member] as const)
                    .sort(byAgent);
                return {
                    ...task,
                    members: members.map(([agent]) => agent),
                    instances: members.map(([, member]) => task.instances[member] ?? 0),
                    ends: members.map(([, member]) => task.ends[member] ?? ""),
                };
            }),
        })),
        agents: reorder(state.agents),
        messages: messages.sort((a, b) => (textOf.get(a) ?? "") < (textOf.get(b) ?? "") ? -1 : 1),
    };
};

/** The state under all names of its agents. */
export const agentRenamings = (state: ModelState): readonly ModelState[] =>
    permutationsOf(state.agents.length).map(order => renameAgents(state, order));
