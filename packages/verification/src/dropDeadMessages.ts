import type { Message, ModelAgent, ModelState, OrderKind } from "./modelState.js";
import type { Model } from "./rule.js";

type IsDead = (agent: ModelAgent, id: string, state: ModelState, model: Model) => boolean;

const isKnown = ({ tasks, revoked }: ModelAgent, id: string): boolean =>
    revoked.includes(id) || tasks.some(task => task.id === id);

/** Orders that neither the agent nor a holder will ever act on, whatever happens to the agent later. */
const IS_DEAD: Readonly<Record<OrderKind, IsDead>> = {
    fence: () => false,
    reserve: isKnown,
    start: (agent, id, _, { guards }) => {
        const isReserved = agent.tasks.some(task => task.id === id && task.state === "reserved");
        return isKnown(agent, id) && !isReserved && !guards.mayStart(agent, id);
    },
    stop: ({ revoked }, id, { holders }) =>
        revoked.includes(id) && holders.every(({ tasks }) => tasks.every(task => task.id !== id)),
};

const isDead = (state: ModelState, message: Message, model: Model): boolean => {
    const agent = state.agents[message.agent];
    if (agent === undefined || message.kind === "config") {
        return false;
    }
    // An agent's epoch never falls while the agent lives, and its messages end with it.
    return !model.guards.acceptsEpoch(agent, message.epoch)
        || (message.kind !== "grant" && IS_DEAD[message.kind](agent, message.id, state, model));
};

/** Removes messages whose delivery can change nothing any more, so that fewer states differ only in them. */
export const dropDeadMessages = (state: ModelState, model: Model): ModelState => {
    const messages = state.messages.filter(message => !isDead(state, message, model));
    return messages.length === state.messages.length ? state : { ...state, messages };
};
