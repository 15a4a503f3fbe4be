import { AGENT_RULES, deliverConfig, deliverGrant, deliverOrder, tickAgent } from "./agentRules.js";
import { HOLDER_RULES } from "./holderRules.js";
import type { Message, ModelState } from "./modelState.js";
import type { Model, Rule, Successor } from "./rule.js";
import { spendFault } from "./rule.js";
import { STORE_RULES } from "./storeRules.js";

type Kind = Message["kind"];
type Delivery<K extends Kind> = (
    state: ModelState,
    message: Extract<Message, { readonly kind: K; }>,
    model: Model,
) => readonly ModelState[];

const DELIVERIES: { readonly [K in Kind]: Delivery<K>; } = {
    fence: deliverOrder,
    reserve: deliverOrder,
    start: deliverOrder,
    stop: deliverOrder,
    grant: deliverGrant,
    config: deliverConfig,
};

const deliver = (state: ModelState, message: Message, model: Model): readonly Successor[] => {
    const delivery = DELIVERIES[message.kind] as Delivery<Kind>;
    const what = describe(message);
    return delivery(state, message, model)
        .map((next, index) => ({ what: index === 0 ? what : `${what}, answer lost`, state: next }));
};

const DESCRIPTIONS: { readonly [K in Kind]: (message: Extract<Message, { readonly kind: K; }>) => string; } = {
    fence: ({ agent, epoch }) => `fence to agent ${agent}, epoch ${epoch}`,
    reserve: ({ agent, epoch, id }) => `reserve ${id} to agent ${agent}, epoch ${epoch}`,
    start: ({ agent, epoch, id }) => `start ${id} to agent ${agent}, epoch ${epoch}`,
    stop: ({ agent, epoch, id }) => `stop ${id} to agent ${agent}, epoch ${epoch}`,
    grant: ({ agent, epoch, left }) => `grant of ${left} ticks to agent ${agent}, epoch ${epoch}`,
    config: ({ agent, version }) => `configuration ${version} to agent ${agent}`,
};

const describe = (message: Message): string => (DESCRIPTIONS[message.kind] as (described: Message) => string)(message);

const without = (state: ModelState, message: Message): ModelState => ({
    ...state,
    messages: state.messages.filter(other => other !== message),
});

const MESSAGE_RULES = {
    deliver: (state, model) => state.messages.flatMap(sent => deliver(without(state, sent), sent, model)),
    // Delivers a message and keeps a copy in flight.
    repeat: (state, model) => {
        const next = spendFault(state);
        const orders = state.messages.filter(({ kind }) => kind !== "grant" && kind !== "config");
        return next === undefined ? [] : orders.flatMap(sent => deliver(next, sent, model));
    },
    tick: (state, model) => {
        const messages = state.messages
            .map(sent => sent.kind === "grant" ? { ...sent, left: sent.left - 1 } : sent)
            .filter(sent => sent.kind !== "grant" || sent.left > 0);
        const holders = state.holders.map(holder => ({
            ...holder,
            contact: holder.contact.map(left => Math.max(0, left - 1)),
        }));
        const agents = state.agents.map(agent => tickAgent(agent, model));
        return [{ what: "", state: { ...state, messages, holders, agents } }];
    },
} satisfies Readonly<Record<string, Rule>>;

/** All rules of the core protocol, by name. */
export const RULES = { ...STORE_RULES, ...HOLDER_RULES, ...AGENT_RULES, ...MESSAGE_RULES };
export type RuleName = keyof typeof RULES;
export const RULE_NAMES = Object.keys(RULES) as readonly RuleName[];

/** One step of the model. */
export interface Step extends Successor {
    readonly rule: RuleName;
}

/** All steps from a state under the named rules. */
export const stepsFrom = (state: ModelState, model: Model, names: readonly RuleName[] = RULE_NAMES): readonly Step[] =>
    names.flatMap(rule => (RULES[rule] as Rule)(state, model).map(successor => ({ rule, ...successor })));
