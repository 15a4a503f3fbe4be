import { takeAnswer } from "./holderRules.js";
import type { Message, ModelAgent, ModelState, ModelTask, OrderKind, Outcome } from "./modelState.js";
import { jobOf, RESERVATION_TICKS } from "./modelState.js";
import type { Model, Rule } from "./rule.js";
import { changeAgent, changeJob, forEachOf } from "./rule.js";

interface Answer {
    readonly agent: ModelAgent;
    readonly outcome: Outcome;
}

type OrderHandler = (agent: ModelAgent, id: string, model: Model) => Answer;

const withTask = (agent: ModelAgent, id: string, state: ModelTask["state"], ticksLeft = 0): ModelAgent => {
    const others = agent.tasks.filter(task => task.id !== id);
    const tasks = [...others, { id, state, ticksLeft }].sort((a, b) => a.id < b.id ? -1 : 1);
    return { ...agent, tasks };
};

/** Drops a reservation and refuses the attempt from now on. */
const revoke = (agent: ModelAgent, id: string): ModelAgent => ({
    ...agent,
    tasks: agent.tasks.filter(task => task.id !== id),
    revoked: [...new Set([...agent.revoked, id])].sort(),
});

const ORDER_HANDLERS: Readonly<Record<OrderKind, OrderHandler>> = {
    fence: agent => ({ agent, outcome: "fenced" }),
    reserve: (agent, id, { guards, bounds }) => {
        const isKnown = agent.revoked.includes(id) || agent.tasks.some(task => task.id === id);
        return isKnown || !guards.hasCapacity(agent, bounds.accelerators)
            ? { agent, outcome: "refused" }
            : { agent: withTask(agent, id, "reserved", RESERVATION_TICKS), outcome: "reserved" };
    },
    start: (agent, id, { guards }) =>
        guards.mayStart(agent, id)
            ? { agent: withTask(agent, id, "running"), outcome: "started" }
            : { agent, outcome: "refused" },
    stop: (agent, id) => {
        const known = agent.tasks.find(task => task.id === id);
        if (known === undefined || known.state === "reserved") {
            return { agent: revoke(agent, id), outcome: "neverStarted" };
        }
        return known.state === "finished"
            ? { agent, outcome: "finished" }
            : { agent: withTask(agent, id, "stopped"), outcome: "stopped" };
    },
};

type Order = Extract<Message, { readonly kind: OrderKind; }>;

/** Delivers an order to its agent; the second state is that in which the answer is lost. */
export const deliverOrder = (state: ModelState, order: Order, model: Model): readonly ModelState[] => {
    const { agent: index, epoch, id, kind } = order;
    const agent = state.agents[index];
    if (agent === undefined || !model.guards.acceptsEpoch(agent, epoch)) {
        return [state];
    }
    const raised = { ...agent, epoch: Math.max(epoch, agent.epoch) };
    const answer = ORDER_HANDLERS[kind](raised, id, model);
    const next = changeAgent(state, index, answer.agent);
    const job = next.jobs[jobOf(id)];
    const unanswered = answer.outcome === "started" && job !== undefined
        ? changeJob(next, jobOf(id), { started: [...new Set([...job.started, id])].sort() })
        : next;
    const answered = takeAnswer(unanswered, order, answer.outcome, agent.instance, model);
    return answered === unanswered ? [unanswered] : [answered, unanswered];
};

/** Takes a lease grant. */
export const deliverGrant = (
    state: ModelState,
    grant: Extract<Message, { readonly kind: "grant"; }>,
    { guards }: Model,
): readonly ModelState[] => {
    const agent = state.agents[grant.agent];
    if (agent === undefined || !guards.acceptsEpoch(agent, grant.epoch)) {
        return [state];
    }
    const lease = Math.max(agent.lease, guards.leaseOf(grant));
    return [changeAgent(state, grant.agent, { lease, epoch: Math.max(grant.epoch, agent.epoch) })];
};

/** Takes a configuration if it is newer. */
export const deliverConfig = (
    state: ModelState,
    { agent: index, version }: Extract<Message, { readonly kind: "config"; }>,
    { guards }: Model,
): readonly ModelState[] => {
    const agent = state.agents[index];
    return agent !== undefined && guards.acceptsConfig(agent, version)
        ? [changeAgent(state, index, { config: version })]
        : [state];
};

/** Lets one tick pass at an agent: reservations and the lease run out. */
export const tickAgent = (agent: ModelAgent, { bounds, guards }: Model): ModelAgent => {
    const lease = Math.max(0, agent.lease - 1);
    const isLapsed = lease === 0 && guards.stopsAtLapse;
    const stops = ({ id, state }: ModelTask) =>
        isLapsed && state === "running" && (bounds.jobs[jobOf(id)]?.members ?? 0) > 1;
    const tasks = agent.tasks.map(task =>
        stops(task)
            ? { ...task, state: "stopped" as const }
            : { ...task, ticksLeft: Math.max(0, task.ticksLeft - 1) }
    );
    const lapsed = tasks.filter(({ state, ticksLeft }) => state === "reserved" && ticksLeft === 0);
    return lapsed.reduce<ModelAgent>((next, { id }) => revoke(next, id), { ...agent, lease, tasks });
};

/** What agents do on their own. */
export const AGENT_RULES = {
    // Members of a gang work together, so one of them finishes only while all others run or have finished.
    finish: (state, { bounds }) =>
        state.agents.flatMap((agent, index) =>
            forEachOf(agent.tasks, ({ id }) => `attempt ${id} at agent ${index}`, ({ id, state: taskState }) => {
                const active = state.agents.flatMap(({ tasks }) => tasks).filter(task =>
                    task.id === id && (task.state === "running" || task.state === "finished")
                );
                return taskState === "running" && active.length === bounds.jobs[jobOf(id)]?.members
                    ? changeAgent(state, index, withTask(agent, id, "finished"))
                    : undefined;
            })
        ),
} satisfies Readonly<Record<string, Rule>>;
