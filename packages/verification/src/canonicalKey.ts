import { createHash } from "node:crypto";
import type { Message, ModelState } from "./modelState.js";

/** All orders of the numbers below `count`. */
const permutations = (count: number): readonly (readonly number[])[] =>
    count === 0
        ? [[]]
        : permutations(count - 1).flatMap(shorter =>
            Array.from({ length: count }, (_, at) => [...shorter.slice(0, at), count - 1, ...shorter.slice(at)])
        );

const PERMUTATIONS = new Map<number, readonly (readonly number[])[]>();

const permutationsOf = (count: number): readonly (readonly number[])[] => {
    const known = PERMUTATIONS.get(count) ?? permutations(count);
    PERMUTATIONS.set(count, known);
    return known;
};

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

/** A digest keeps a few hundred thousand keys within the memory of a CI machine. */
const digest = (text: string): string => createHash("sha256").update(text).digest("base64").slice(0, 22);

/** The key of one state. */
export const plainKey = (state: ModelState): string => digest(JSON.stringify(state));

/** One key for all states that differ only in the names of the agents. */
export const canonicalKey = (state: ModelState): string => {
    const texts = permutationsOf(state.agents.length).map(order => JSON.stringify(renameAgents(state, order)));
    return digest(texts.reduce((a, b) => a < b ? a : b));
};
